// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "Hallchute/src/Daemon/AnswerRunner.h"
#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Daemon/JobTable.h"
#include "Hallchute/src/Daemon/PlatformHealth.h"
#include "Hallchute/src/Daemon/RetryBudgets.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Ports/PlatformPort.h"
#include "ScriptedUpstream.h"
#include "UnusedAddress.h"

namespace {

using namespace Hallchute;

/// A platform that does nothing: runners of answers don't call it.
struct SilentPlatform final : PlatformPort {
  PlatformReply<StoredObject> read(std::string_view) override { return Refused{}; }
  PlatformReply<std::uint64_t> write(std::string_view, std::string_view, std::uint64_t) override {
    return Refused{};
  }
  PlatformReply<std::uint64_t> remove(std::string_view, std::uint64_t) override {
    return Refused{};
  }
  PlatformReply<ObjectList> list(std::string_view, std::string_view, std::size_t) override {
    return Refused{};
  }
  PlatformReply<ObjectList> watch(std::string_view, std::uint64_t, Millis) override {
    return Refused{};
  }
  PlatformReply<HostList> hosts() override { return Refused{}; }
};

std::string errorHead(const std::string& statusAndFields) {
  return "HTTP/1.1 " + statusAndFields + "\r\nContent-Length: 0\r\n\r\n";
}

/// How the work reaches its runner.
enum class Origin { caller, resumedHere, takenOver };

/// Guards against refusals of generations that claim more than is known.
class AnswerOutcomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerOutcomeTest);
  CPPUNIT_TEST(aRefusalClaimsOnlyWhatIsKnown);
  CPPUNIT_TEST(whatRanElsewhereIsNotRefusedAsNotRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aRefusalClaimsOnlyWhatIsKnown() {
    struct Row {
      std::string reply;
      std::string outcome;
    };
    const Row rows[] = {
        {errorHead("503 Bye\r\nEngine-Leaving: 500"), "not-run"},
        {errorHead("500 Oh"), "unknown"},
        {errorHead("503 Oh"), "unknown"},
        {errorHead("429 Oh"), "unknown"},
    };
    for (const Row& row : rows) {
      ScriptedUpstream engine({{row.reply}});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.reply, row.outcome,
                                   outcomeOf(Origin::caller, engine.address()));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.reply, std::size_t{1}, engine.requests().size());
    }
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), outcomeOf(Origin::caller, unusedAddress()));
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), outcomeOf(Origin::caller, ""));
  }

  void whatRanElsewhereIsNotRefusedAsNotRun() {
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcomeOf(Origin::resumedHere, ""));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcomeOf(Origin::takenOver, ""));
  }

 private:
  /// \param address of the only upstream, which is granted once; empty: none.
  static std::string outcomeOf(Origin origin, std::string address) {
    SettingsStore settings;
    Metrics metrics;
    JobTable jobs;
    SilentPlatform platform;
    PlatformHealth health;
    RetryBudgets budgets;
    const auto acquire = [&](const GrantSpec&) -> GrantOutcome {
      if (address.empty()) {
        return Refusal{RefusalReason::noUpstream, "none", RunOutcome::notRun, Millis(10)};
      }
      return std::make_unique<ScopedGrant>(
          UpstreamId("u"), std::exchange(address, ""), [] {}, [](GrantEnd) {});
    };
    TrafficContext context{DaemonId("d"),
                           FailureDomainName("d"),
                           "127.0.0.1",
                           settings,
                           metrics,
                           jobs,
                           platform,
                           health,
                           budgets,
                           acquire,
                           [](const LeaveAnnouncement&) {},
                           [](const DaemonId&) { return true; }};
    JobSpec spec;
    spec.request = RequestId("r");
    spec.service = ServiceName("s");
    spec.durable = origin == Origin::takenOver;
    spec.maxTokens = 5;
    spec.deadline = clockNow() + Millis(200);
    spec.queueLimit = Millis(100);
    // The record of an orphan is older than its first attempt.
    const auto job = origin == Origin::takenOver
                         ? std::make_shared<Job>(spec, 0, std::vector<std::string>())
                         : std::make_shared<Job>(spec);
    if (origin == Origin::resumedHere) job->beginAttempt(UpstreamId("earlier"));
    AnswerRunner(context, job).run();
    const std::optional<Refusal> refusal = job->view(0, Millis(0)).refusal;
    return refusal ? std::string(outcomeName(refusal->outcome)) : "none";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerOutcomeTest);

}  // namespace
