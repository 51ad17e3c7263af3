// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "AnswerScripts.h"
#include "GatewayRig.h"
#include "ScriptedUpstream.h"
#include "UnusedAddress.h"

namespace {

using namespace Hallchute;
using Then = UpstreamScript::Then;

constexpr Millis kTimeLimit{12'000};
const RetryAllowance kRetries{0.2, 1e6, Millis(10'000)};
const RetryAllowance kNoRetries{0, 0, Millis(10'000)};
const UpstreamScript kRejects{kRejection};
const UpstreamScript kBreaks{"", Then::reset};

/// An upstream that is silent before or in the midst of a stream and goes on.
UpstreamScript silentBefore(Millis silence) {
  return {"", Then::keep, silence, kStreamHead + eventChunk(1) + eventChunk(2) + kStreamEnd};
}
UpstreamScript silentMidway(Millis silence) {
  return {kStreamHead + eventChunk(1), Then::keep, silence, eventChunk(2) + kStreamEnd};
}
UpstreamScript resumesAfter(Millis silence) {
  return {"", Then::keep, silence, kStreamHead + eventChunk(2) + kStreamEnd};
}

struct Row {
  std::string name;
  WorkKind kind;
  RetryAllowance retries;
  /// The upstream that gets the request, and the others; without a script nothing listens there.
  UpstreamScript first;
  std::vector<std::vector<UpstreamScript>> others;
  /// No upstream runs more than that.
  std::size_t maxArrivals;
  Millis within;
};

/// Guards against answers that are ended although the upstream that is at work goes on.
class SilentUpstreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilentUpstreamTest);
  CPPUNIT_TEST(theAnswerIsWholeWhateverBecomesOfItsReplacement);
  CPPUNIT_TEST(aReplacedRunIsCancelledOnceItsReplacementAnswers);
  CPPUNIT_TEST(aReplacementIsCancelledOnceTheFirstRunGoesOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void theAnswerIsWholeWhateverBecomesOfItsReplacement() {
    constexpr Millis kSecond{1'500};
    constexpr Millis kLong{4'500};
    constexpr Millis kPromptly{2'000};
    const UpstreamScript dead{kStreamHead + eventChunk(1), Then::hang};
    const std::vector<Row> rows{
        {"no retry left",
         WorkKind::stream,
         kNoRetries,
         silentMidway(kSecond),
         {{resumesAfter(Millis(0))}},
         1,
         kTimeLimit},
        {"no retry left, silent for long",
         WorkKind::stream,
         kNoRetries,
         silentMidway(kLong),
         {{resumesAfter(Millis(0))}},
         1,
         kTimeLimit},
        {"no retry left before the first event",
         WorkKind::stream,
         kNoRetries,
         silentBefore(Millis(2'500)),
         {{silentBefore(Millis(0))}},
         1,
         kTimeLimit},
        {"no other upstream", WorkKind::stream, kRetries, silentMidway(kLong), {}, 1, kTimeLimit},
        {"the other is unreachable",
         WorkKind::stream,
         kRetries,
         silentMidway(kSecond),
         {{}},
         1,
         kTimeLimit},
        {"the others reject",
         WorkKind::stream,
         kRetries,
         silentMidway(kSecond),
         {{kRejects}, {kRejects}, {kRejects}, {kRejects}},
         5,
         kTimeLimit},
        {"the others reject for long",
         WorkKind::stream,
         kRetries,
         silentMidway(kLong),
         {{kRejects}, {kRejects}, {kRejects}, {kRejects}},
         5,
         kTimeLimit},
        {"the others break off",
         WorkKind::stream,
         kRetries,
         silentMidway(kSecond),
         {{kBreaks}, {kBreaks}, {kBreaks}},
         3,
         kTimeLimit},
        {"all are silent",
         WorkKind::stream,
         kRetries,
         silentMidway(kLong),
         {{resumesAfter(kLong)}, {resumesAfter(kLong)}, {resumesAfter(kLong)}},
         3,
         kTimeLimit},
        {"all are silent before the first event",
         WorkKind::stream,
         kRetries,
         silentBefore(kLong),
         {{silentBefore(kLong)}, {silentBefore(kLong)}, {silentBefore(kLong)}},
         3,
         kTimeLimit},
        {"a plain answer",
         WorkKind::repeatable,
         kRetries,
         {"", Then::keep, Millis(2'500), kPlainAnswer},
         {{kRejects}, {kRejects}, {kRejects}},
         4,
         kTimeLimit},
        {"an upstream that is dead for good is left",
         WorkKind::stream,
         kRetries,
         dead,
         {{resumesAfter(Millis(0))}},
         2,
         kPromptly},
        {"one that rejects does not keep a third from serving",
         WorkKind::stream,
         kRetries,
         dead,
         {{kRejects}, {resumesAfter(Millis(0))}},
         3,
         kPromptly},
    };
    std::vector<std::future<std::string>> failures;
    failures.reserve(rows.size());
    for (const Row& row : rows) {
      failures.push_back(std::async(std::launch::async, [&row] { return failureOf(row); }));
    }
    std::string all;
    for (std::future<std::string>& failure : failures) all += failure.get();
    CPPUNIT_ASSERT_MESSAGE(all, all.empty());
  }

  void aReplacedRunIsCancelledOnceItsReplacementAnswers() {
    ScriptedUpstream first(
        {{kStreamHead + eventChunk(1), Then::keep, kTimeLimit, eventChunk(2) + kStreamEnd}});
    ScriptedUpstream second({resumesAfter(Millis(0))});
    CPPUNIT_ASSERT(ask(kRetries, first, second).ends_with(kStreamEnd));
    CPPUNIT_ASSERT_EQUAL(1, first.awaitCancelled(1));
  }

  void aReplacementIsCancelledOnceTheFirstRunGoesOn() {
    ScriptedUpstream first({silentMidway(Millis(1'600))});
    ScriptedUpstream second({resumesAfter(kTimeLimit)});
    CPPUNIT_ASSERT(ask(kRetries, first, second).ends_with(kStreamEnd));
    CPPUNIT_ASSERT_EQUAL(1, second.awaitCancelled(1));
    CPPUNIT_ASSERT_EQUAL(0, first.cancelled());
  }

 private:
  static Route routeOf(WorkKind kind) {
    Route route = plainRoute(kind);
    route.resumable = kind == WorkKind::stream;
    route.maxRuns = 3;
    route.timeLimit = kTimeLimit;
    return route;
  }
  static UpstreamRecord recordOf(std::size_t number, const std::string& address) {
    UpstreamRecord record = upstreamAt("i-" + std::to_string(number), address);
    // The first choice is the upstream in the daemon's own domain.
    record.domain = FailureDomainName(number == 0 ? "d1" : "d2");
    return record;
  }
  static std::string answerOf(GatewayRig& rig, WorkKind kind,
                              const std::vector<UpstreamRecord>& records) {
    rig.setSettings(settingsWith(routeOf(kind)));
    rig.setUpstreams(records);
    RawCaller caller(rig.address());
    caller.send(requestText("POST", "Connection: close\r\n", "body"));
    return caller.readAll(kTimeLimit);
  }
  static std::string ask(const RetryAllowance& retries, const ScriptedUpstream& first,
                         const ScriptedUpstream& second) {
    GatewayRig rig(retries);
    return answerOf(rig, WorkKind::stream,
                    {recordOf(0, first.address()), recordOf(1, second.address())});
  }
  static std::string failureOf(const Row& row) {
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    upstreams.push_back(std::make_unique<ScriptedUpstream>(std::vector{row.first}));
    std::vector<UpstreamRecord> records{recordOf(0, upstreams.front()->address())};
    for (const std::vector<UpstreamScript>& scripts : row.others) {
      if (scripts.empty()) {
        records.push_back(recordOf(records.size(), unusedAddress()));
        continue;
      }
      upstreams.push_back(std::make_unique<ScriptedUpstream>(scripts));
      records.push_back(recordOf(records.size(), upstreams.back()->address()));
    }
    GatewayRig rig(row.retries);
    const auto start = std::chrono::steady_clock::now();
    const std::string answer = answerOf(rig, row.kind, records);
    const auto took = std::chrono::steady_clock::now() - start;
    std::size_t arrivals = 0;
    for (const auto& upstream : upstreams) arrivals += upstream->requests().size();
    const bool whole =
        row.kind == WorkKind::stream ? isWholeStream(answer) : answer.ends_with("\r\n\r\nok");
    if (whole && arrivals <= row.maxArrivals && took < row.within) return {};
    return row.name + ": " + std::to_string(arrivals) + " arrivals, " + answer + "\n";
  }
  static bool isWholeStream(const std::string& answer) {
    return answer.find("\r\n\r\n" + eventChunk(1) + eventChunk(2) + kStreamEnd) !=
           std::string::npos;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentUpstreamTest);

}  // namespace
