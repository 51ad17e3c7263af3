// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

#include "Hallchute/src/Node/NodeStartup.h"

namespace {

using namespace Hallchute;

std::string startupText(const std::string& members) {
  return absl::StrCat(
      R"({"daemon":"d","failureDomain":"f","ip":"127.0.0.1","listen":{"callers":"127.0.0.1:1",)",
      R"("readiness":"127.0.0.1:2","peers":"127.0.0.1:3"},"store":{"address":"127.0.0.1:4"})",
      members, "}");
}

class GatewayStartupFileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayStartupFileTest);
  CPPUNIT_TEST(limitsOfRealHostsAreAccepted);
  CPPUNIT_TEST(hedgingIsOffUnlessAValidPercentageIsSet);
  CPPUNIT_TEST(boundsOfAnswersAreChecked);
  CPPUNIT_TEST(admissionIsOffUnlessAskedForAndItsBoundsAreChecked);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A host without a limit of its own names the kernel's largest one, or none; the daemon ended
  /// with findings.
  void limitsOfRealHostsAreAccepted() {
    struct Row {
      std::string members;
      std::size_t descriptors;
      std::uint32_t capacity;
    };
    const NodeStartup defaults;
    const std::array rows{
        Row{"", defaults.descriptors, defaults.capacity},
        Row{R"(,"descriptors":4100,"processors":0.25)", 4'100, 250},
        Row{R"(,"descriptors":1048576,"processors":96)", 1'048'576, 96'000},
        Row{R"(,"descriptors":1073741816,"processors":2048)", 1'073'741'816, 2'048'000},
        Row{R"(,"descriptors":9223372036854775807)", 9'223'372'036'854'775'807U, defaults.capacity},
        Row{R"(,"descriptors":0)", defaults.descriptors, defaults.capacity},
        Row{R"(,"descriptors":-1)", defaults.descriptors, defaults.capacity},
        Row{R"(,"descriptors":null,"processors":null)", defaults.descriptors, defaults.capacity},
    };
    for (const Row& row : rows) {
      Findings findings;
      const NodeStartup startup = readNodeStartup(startupText(row.members), findings);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.members, std::string(), describe(findings));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.members, row.descriptors, startup.descriptors);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.members, row.capacity, startup.capacity);
    }
  }

  /// Guards against hedges that nobody has asked for, and against a bound that is none.
  void hedgingIsOffUnlessAValidPercentageIsSet() {
    struct Row {
      std::string members;
      double percent;
      Millis minDelay;
      std::string finding;
    };
    const std::array rows{
        Row{"", 0, Millis(50), ""},
        Row{R"(,"hedging":{})", 0, Millis(50), ""},
        Row{R"(,"hedging":{"percent":5})", 5, Millis(50), ""},
        Row{R"(,"hedging":{"percent":2.5,"minDelayMs":20})", 2.5, Millis(20), ""},
        Row{R"(,"hedging":{"percent":60})", 0, Millis(50), "/hedging/percent"},
        Row{R"(,"hedging":{"percent":-1})", 0, Millis(50), "/hedging/percent"},
        Row{R"(,"hedging":{"minDelayMs":0})", 0, Millis(50), "/hedging/minDelayMs"},
        Row{R"(,"hedging":{"share":5})", 0, Millis(50), "/hedging/share"},
    };
    for (const Row& row : rows) {
      Findings findings;
      const NodeStartup startup = readNodeStartup(startupText(row.members), findings);
      const std::string path = findings.empty() ? "" : findings.front().path;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.members, row.finding, path);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.members, row.percent, startup.hedging.percent);
      CPPUNIT_ASSERT_MESSAGE(row.members, row.minDelay == startup.hedging.minDelay);
    }
  }

  /// A sum below a single answer's bound would fail each answer of that size.
  void boundsOfAnswersAreChecked() {
    struct Row {
      std::string answers;
      std::string faulty;
      AnswerBounds bounds;
    };
    const std::array rows{
        Row{"{}", "", {}},
        Row{R"({"maxBodyBytes":40000,"maxEventBytes":50000,"maxHeldBytes":50000})",
            "",
            {40'000, 50'000, 50'000}},
        Row{R"({"maxBodyBytes":40000,"maxEventBytes":50000,"maxHeldBytes":49999})",
            "maxHeldBytes",
            {40'000, 50'000, 49'999}},
        Row{R"({"maxBodyBytes":16777217})", "maxHeldBytes", {16'777'217}},
        Row{R"({"maxEventBytes":100})", "maxEventBytes", {}},
        Row{R"({"maxBytes":100})", "maxBytes", {}},
    };
    for (const Row& row : rows) {
      Findings findings;
      const NodeStartup startup =
          readNodeStartup(startupText(R"(,"answers":)" + row.answers), findings);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.answers, row.faulty.empty(), findings.empty());
      CPPUNIT_ASSERT_MESSAGE(describe(findings),
                             describe(findings).find(row.faulty) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(row.answers, row.bounds == startup.answers);
    }
  }

  /// Guards against requests that wait where nobody asked for it, or are refused by a bound of 0.
  void admissionIsOffUnlessAskedForAndItsBoundsAreChecked() {
    Findings findings;
    CPPUNIT_ASSERT(!readNodeStartup(startupText(""), findings).admission.enabled);
    const NodeStartup startup = readNodeStartup(
        startupText(R"(,"admission":{"enabled":true,"maxWaiting":9,"maxWaitingBytes":99})"),
        findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), describe(findings));
    CPPUNIT_ASSERT(startup.admission.enabled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, startup.admission.maxWaiting);
    CPPUNIT_ASSERT_EQUAL(std::size_t{99}, startup.admission.maxWaitingBytes);
    readNodeStartup(startupText(R"(,"admission":{"maxWaiting":0})"), findings);
    CPPUNIT_ASSERT(!findings.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStartupFileTest);

}  // namespace
