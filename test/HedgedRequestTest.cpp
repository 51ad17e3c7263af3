// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <string>
#include <vector>

#include "AnswerScripts.h"
#include "GatewayRig.h"
#include "ScriptedUpstream.h"

namespace {

using namespace Hallchute;
using Then = UpstreamScript::Then;

constexpr Millis kTimeLimit{8'000};
constexpr Millis kLong{4'000};
/// Less than kLong and than the time after which an upstream is called silent.
constexpr Millis kPromptly{1'500};
/// Requests that the policy needs before it hedges.
constexpr std::size_t kMeasured = 24;
const RetryAllowance kRetries{0.2, 1e6, Millis(10'000)};
const RetryAllowance kNoRetries{0, 0, Millis(10'000)};
const HedgeLimits kHedges{50, Millis(30)};
const HedgeLimits kNoHedges{};
const UpstreamScript kPlain{kPlainAnswer, Then::keep};
const UpstreamScript kSlowPlain{"", Then::keep, kLong, kPlainAnswer};
const UpstreamScript kStream{kStreamHead + eventChunk(1) + eventChunk(2) + kStreamEnd, Then::keep};
const UpstreamScript kSlowStream{"", Then::keep, kLong,
                                 kStreamHead + eventChunk(1) + eventChunk(2) + kStreamEnd};
const UpstreamScript kBreaksMidway{kStreamHead + eventChunk(1), Then::reset};
const UpstreamScript kResumes{kStreamHead + eventChunk(2) + kStreamEnd, Then::keep};

struct Row {
  std::string name;
  WorkKind kind = WorkKind::repeatable;
  int maxRuns = 2;
  RetryAllowance retries = kRetries;
  HedgeLimits hedges = kHedges;
  /// What the first upstream does with the request after those that were measured, and the second.
  UpstreamScript first;
  std::vector<UpstreamScript> second;
  std::string answerEnd;
  bool prompt = true;
  std::size_t arrivalsAtSecond = 1;
  int cancelledAtFirst = 1;
  std::string outcome = "won";
};

/// Guards against a hedge that costs an answer, runs what may not repeat, or leaves the loser at
/// work.
class HedgedRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HedgedRequestTest);
  CPPUNIT_TEST(requestsByTable);
  CPPUNIT_TEST(aWaitingServiceIsNotHedged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void requestsByTable() {
    const std::string ok = "\r\n\r\nok";
    const UpstreamScript rejects{kRejection, Then::keep};
    const UpstreamScript breaks{"", Then::reset};
    const std::vector<Row> rows{
        {"the second answers",
         WorkKind::repeatable,
         2,
         kRetries,
         kHedges,
         kSlowPlain,
         {kPlain},
         ok},
        {"the second begins the stream",
         WorkKind::stream,
         2,
         kRetries,
         kHedges,
         kSlowStream,
         {kStream},
         kStreamEnd},
        {"the second rejects",
         WorkKind::repeatable,
         3,
         kRetries,
         kHedges,
         kSlowPlain,
         {rejects},
         ok,
         false,
         1,
         0,
         "rejected"},
        {"the second breaks",
         WorkKind::repeatable,
         3,
         kRetries,
         kHedges,
         kSlowPlain,
         {breaks},
         ok,
         false,
         1,
         0,
         "failed"},
        {"the first answers before the second",
         WorkKind::repeatable,
         2,
         kRetries,
         kHedges,
         {"", Then::keep, Millis(600), kPlainAnswer},
         {kSlowPlain},
         ok,
         true,
         1,
         0,
         "lost"},
        {"the first breaks later",
         WorkKind::repeatable,
         2,
         kRetries,
         kHedges,
         {"", Then::reset, Millis(300)},
         {{"", Then::keep, Millis(600), kPlainAnswer}},
         ok,
         true,
         1,
         0,
         "won"},
        {"off",
         WorkKind::repeatable,
         2,
         kRetries,
         kNoHedges,
         kSlowPlain,
         {kPlain},
         ok,
         false,
         1,
         1,
         ""},
        {"no retry left",
         WorkKind::repeatable,
         2,
         kNoRetries,
         kHedges,
         kSlowPlain,
         {kPlain},
         ok,
         false,
         0,
         0,
         ""},
        {"unsafe", WorkKind::once, 2, kRetries, kHedges, kSlowPlain, {kPlain}, ok, false, 0, 0, ""},
        {"runs once",
         WorkKind::repeatable,
         1,
         kRetries,
         kHedges,
         kSlowPlain,
         {kPlain},
         ok,
         false,
         0,
         0,
         ""},
        {"the winner breaks off and may go on",
         WorkKind::stream,
         3,
         kRetries,
         kHedges,
         kSlowStream,
         {kBreaksMidway},
         kStreamEnd,
         true,
         1,
         1,
         "won"},
        {"the winner breaks off after the last run",
         WorkKind::stream,
         2,
         kRetries,
         kHedges,
         kSlowStream,
         {kBreaksMidway},
         eventChunk(1),
         true,
         1,
         1,
         "won"},
    };
    std::vector<std::future<std::string>> failures;
    failures.reserve(rows.size());
    for (const Row& row : rows) {
      failures.push_back(std::async(std::launch::async, [&row] { return failureOf(row); }));
    }
    std::string all;
    for (std::future<std::string>& failure : failures) all += failure.get();
    CPPUNIT_ASSERT_EQUAL(std::string(), all);
  }

  void aWaitingServiceIsNotHedged() {
    // It answers before it is called silent.
    ScriptedUpstream first(scripts(kPlain, {"", Then::keep, Millis(1'000), kPlainAnswer}));
    ScriptedUpstream second({kPlain});
    GatewayRig rig(kRetries, kHedges);
    rig.loop().call([&] { rig.engine().setRequestsWait([](const ServiceName&) { return true; }); });
    prepare(rig, {}, first, second);
    CPPUNIT_ASSERT(ask(rig).ends_with("ok"));
    CPPUNIT_ASSERT(second.requests().empty());
    CPPUNIT_ASSERT(rig.metrics().page().find("reason=\"requestsWait\"") != std::string::npos);
  }

 private:
  static std::vector<UpstreamScript> scripts(const UpstreamScript& measured,
                                             const UpstreamScript& last) {
    std::vector<UpstreamScript> all(kMeasured, measured);
    all.push_back(last);
    all.push_back(kResumes);
    return all;
  }
  static std::string ask(GatewayRig& rig) {
    RawCaller caller(rig.address());
    caller.send(requestText("POST", "Connection: close\r\n", "body"));
    return caller.readAll(kTimeLimit);
  }
  /// Sends the requests by which the delay is measured; only the first upstream is there.
  static void prepare(GatewayRig& rig, const Row& row, const ScriptedUpstream& first,
                      const ScriptedUpstream& second) {
    Route route = plainRoute(row.kind);
    route.resumable = row.kind == WorkKind::stream;
    route.maxRuns = row.maxRuns;
    route.timeLimit = kTimeLimit;
    rig.setSettings(settingsWith(route));
    std::vector<UpstreamRecord> records{upstreamAt("i-0", first.address())};
    rig.setUpstreams(records);
    for (std::size_t i = 0; i < kMeasured; ++i) ask(rig);
    records.push_back(upstreamAt("i-1", second.address()));
    // The first choice is the upstream in the daemon's own domain.
    records.back().domain = FailureDomainName("d2");
    rig.setUpstreams(records);
  }
  static std::string failureOf(const Row& row) {
    ScriptedUpstream first(scripts(row.kind == WorkKind::stream ? kStream : kPlain, row.first));
    ScriptedUpstream second(row.second);
    GatewayRig rig(row.retries, row.hedges);
    prepare(rig, row, first, second);
    const auto start = std::chrono::steady_clock::now();
    const std::string answer = ask(rig);
    const bool prompt = std::chrono::steady_clock::now() - start < kPromptly;
    const int cancelled = first.awaitCancelled(row.cancelledAtFirst);
    const std::string page = rig.metrics().page();
    std::string failure;
    if (!answer.ends_with(row.answerEnd)) failure += " answer " + answer;
    if (prompt != row.prompt) failure += prompt ? " prompt" : " late";
    if (second.requests().size() != row.arrivalsAtSecond)
      failure += " arrivals " + std::to_string(second.requests().size());
    if (cancelled != row.cancelledAtFirst) failure += " cancelled " + std::to_string(cancelled);
    const bool hedged = page.find("hallchute_hedges_total{") != std::string::npos;
    const std::string counted = "hallchute_hedges_total{outcome=\"" + row.outcome + "\"} 1";
    if (row.outcome.empty() ? hedged : page.find(counted) == std::string::npos)
      failure += " counted otherwise";
    return failure.empty() ? failure : row.name + ":" + failure + "\n";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgedRequestTest);

}  // namespace
