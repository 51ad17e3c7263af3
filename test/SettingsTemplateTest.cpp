// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "Hallchute/src/Node/NodeStartup.h"
#include "Hallchute/src/Settings/JsonTree.h"
#include "test/soak/SettingsTemplate.h"

namespace {

constexpr const char* kFields = R"({"name":"d","share":0.25,"no":false,"empty":null,"zero":0,
  "list":["a","b"],"table":{"k":"v","l":"w"},"bounds":{"drain-ms":2000},"rows":[{"x":1},{"y":2}]})";

class SettingsTemplateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTemplateTest);
  CPPUNIT_TEST(valuesAreFilledIn);
  CPPUNIT_TEST(sectionsRepeat);
  CPPUNIT_TEST(theGatewaysTemplateGivesReadableSettings);
  CPPUNIT_TEST(settingsWithoutLimitsAreReadable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void valuesAreFilledIn() {
    expect("d 0.25 2000 b", "{{name}} {{share}} {{bounds.drain-ms}} {{list.1}}");
    expect("a,b {\"k\":\"v\",\"l\":\"w\"} <>", "{{list}} {{table}} <{{none.at}}>");
    expect("\"d\" [\"a\",\"b\"]", "{{name|json}} {{list|json}}");
  }

  void sectionsRepeat() {
    expect("0=a,1=b", "{{#list}}{{@}}={{.}}{{,}}{{/list}}");
    expect("k:v d,l:w d", "{{#table}}{{@}}:{{.}} {{name}}{{,}}{{/table}}");
    expect("2000!", "{{#bounds.drain-ms}}{{.}}!{{/bounds.drain-ms}}");
    expect("1,", "{{#rows}}{{x}}{{,}}{{/rows}}");
    expect("[0]", "[{{#no}}a{{/no}}{{#none}}b{{/none}}{{#zero}}{{.}}{{/zero}}]");
    expect("xyz", "{{^no}}x{{/no}}{{^none}}y{{/none}}{{^empty}}z{{/empty}}{{^zero}}0{{/zero}}");
  }

  void theGatewaysTemplateGivesReadableSettings() {
    const Hallchute::NodeStartup startup = startupFrom(
        R"({"node-name":"d-1","zone":"east","zones":{"east":"r","west":"r"},"ip":"127.9.0.1",
            "limits":{"cpu-share":0.25,"max-fds":4100,"memory-mb":260},"seeds":["127.9.0.1:7"],
            "listen":{"front":"127.9.0.1:5","readiness":"127.9.0.1:6","control":"127.9.0.1:7"},
            "platform":{"address":"127.9.0.2:5"},"cloud-api":{"address":"127.9.0.2:6"},
            "admission":{"enabled":true},"placement":{"estimates":true},
            "bounds":{"contact-ms":3000,"grace-s":8,"retry-budget":0.2,"budget-slack":52,
            "hedge-percent":5}})");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, startup.domains.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4'100}, startup.descriptors);
    CPPUNIT_ASSERT(std::size_t{260} << 20U == startup.memory);
    CPPUNIT_ASSERT(startup.seeds == std::vector<std::string>{"127.9.0.1:7"});
    CPPUNIT_ASSERT_EQUAL(std::string("127.9.0.2:6"), startup.dutyAddress);
    CPPUNIT_ASSERT_EQUAL(0.2, startup.bounds.retryRatio);
    CPPUNIT_ASSERT_EQUAL(5.0, startup.hedging.percent);
    CPPUNIT_ASSERT(Hallchute::Millis(8'000) == startup.bounds.grace);
    CPPUNIT_ASSERT(startup.reportsUsage);
    CPPUNIT_ASSERT(startup.admission.enabled);
    CPPUNIT_ASSERT(startup.placement.estimates);
  }

  /// A host without limits, in a deployment without duties, bounds and seeds: the start-up file was
  /// no JSON, and the daemon ended.
  void settingsWithoutLimitsAreReadable() {
    const Hallchute::NodeStartup startup = startupFrom(
        R"({"node-name":"d-1","zone":"east","ip":"127.9.0.1","platform":{"address":"127.9.0.2:5"},
            "listen":{"front":"127.9.0.1:5","readiness":"127.9.0.1:6","control":"127.9.0.1:7"}})");
    const Hallchute::NodeStartup defaults;
    CPPUNIT_ASSERT_EQUAL(defaults.descriptors, startup.descriptors);
    CPPUNIT_ASSERT(!startup.memory);
    CPPUNIT_ASSERT_EQUAL(defaults.capacity, startup.capacity);
    CPPUNIT_ASSERT(startup.seeds.empty());
    CPPUNIT_ASSERT(!startup.reportsUsage);
    CPPUNIT_ASSERT_EQUAL(0.0, startup.hedging.percent);
    CPPUNIT_ASSERT(!startup.admission.enabled);
    CPPUNIT_ASSERT(!startup.placement.estimates);
  }

 private:
  /// What a gateway reads from the deployment's template, filled from \p fieldsText.
  static Hallchute::NodeStartup startupFrom(const std::string& fieldsText) {
    std::ostringstream text;
    text << std::ifstream(HALLCHUTE_SOURCE_DIR "/deploy/gateway.json").rdbuf();
    Hallchute::Findings findings;
    const auto fields = Hallchute::parseJsonObject(fieldsText, findings);
    const std::string settings = Soak::SettingsTemplate(fields).fill(text.str());
    Hallchute::NodeStartup startup = Hallchute::readNodeStartup(settings, findings);
    CPPUNIT_ASSERT_MESSAGE(settings, findings.empty());
    return startup;
  }

  static void expect(const std::string& filled, const std::string& text) {
    Hallchute::Findings findings;
    const auto fields = Hallchute::parseJsonObject(kFields, findings);
    CPPUNIT_ASSERT_EQUAL(filled, Soak::SettingsTemplate(fields).fill(text));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTemplateTest);

}  // namespace
