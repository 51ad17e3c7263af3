// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "GatewayRig.h"
#include "Hallchute/Duty"
#include "ScriptedUpstream.h"
#include "platform/ObjectStore.h"
#include "platform/PlatformDuties.h"
#include "standin/ObjectStoreStandin.h"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
constexpr int kMaxAttempts = 20;
/// How long a caller waits that leaves before the upstream ends.
constexpr Millis kLeaveDelay{100};
const UpstreamScript kCrash{"", UpstreamScript::Then::reset};
const UpstreamScript kAnswer{
    "HTTP/1.1 200 OK\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Replica-Signature: s\r\n"
    "Content-Length: 2\r\n\r\nok",
    UpstreamScript::Then::keep};

Instant at(int ms) {
  return kStart + Millis(ms);
}

CrashHistory historyOf(std::uint64_t content) {
  CrashHistory history{RequestFingerprint{content}, {}};
  for (const char* id : {"u1", "u2", "u3"}) {
    history.crashes.push_back({UpstreamIncarnation(UpstreamId(id), 7), false});
  }
  return history;
}

/// A gateway in front of upstreams that all follow the same scripts.
class Pool {
 public:
  Pool(WorkKind kind, int upstreams, const std::vector<UpstreamScript>& scripts)
      : scripts_(scripts) {
    rig_.setSettings(settingsWith(plainRoute(kind)));
    for (int i = 0; i < upstreams; ++i) {
      upstreams_.push_back(std::make_unique<ScriptedUpstream>(scripts));
      records_.push_back(upstreamAt("u" + std::to_string(i), upstreams_.back()->address()));
    }
    rig_.setUpstreams(records_);
  }
  std::string ask(const std::string& body) {
    RawCaller caller(rig_.address());
    caller.send(requestText("POST", "", body));
    return caller.read("\r\n\r\n");
  }
  /// Sends a request whose caller leaves. The upstream that it reached ends just after that and
  /// starts again.
  void askAndLeave(const std::string& body) {
    RawCaller caller(rig_.address());
    caller.send(requestText("POST", "", body));
    caller.read("\r\n\r\n", kLeaveDelay);
    caller.close();
    std::this_thread::sleep_for(kLeaveDelay);
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      if (upstreams_[i]->requests().empty()) continue;
      ++ended_;
      upstreams_[i] = std::make_unique<ScriptedUpstream>(scripts_);
      records_[i].address = upstreams_[i]->address();
      ++records_[i].incarnation;
    }
    rig_.setUpstreams(records_);
  }
  int upstreamsEnded() const { return ended_; }
  int runs() const {
    std::size_t runs = 0;
    for (const auto& upstream : upstreams_) runs += upstream->requests().size();
    return static_cast<int>(runs);
  }
  int upstreamsReached() const {
    return static_cast<int>(
        std::count_if(upstreams_.begin(), upstreams_.end(),
                      [](const auto& upstream) { return !upstream->requests().empty(); }));
  }
  GatewayRig& rig() { return rig_; }

 private:
  std::vector<UpstreamScript> scripts_;
  std::vector<UpstreamRecord> records_;
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams_;
  int ended_ = 0;
  GatewayRig rig_;
};

class CrashQuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashQuarantineTest);
  CPPUNIT_TEST(aRequestThatCrashedThreeUpstreamsIsRefused);
  CPPUNIT_TEST(crashesAfterTheCallerLeftCount);
  CPPUNIT_TEST(attemptsThatRunAreNotRefused);
  CPPUNIT_TEST(answersThatCantBeReadAreNoCrashes);
  CPPUNIT_TEST(theStoreKeepsTheQuarantine);
  CPPUNIT_TEST(aHolderRecordsTheQuarantineAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aRequestThatCrashedThreeUpstreamsIsRefused() {
    struct Row {
      const char* label;
      WorkKind kind;
    };
    for (const Row& row : {Row{"may repeat", WorkKind::repeatable}, Row{"once", WorkKind::once}}) {
      Pool pool(row.kind, 6, {kCrash});
      std::string answer = pool.ask("bad");
      // An upstream here goes on after a reset and may be chosen again, which says nothing new.
      for (int i = 0; i < kMaxAttempts && answer.starts_with("HTTP/1.1 502"); ++i) {
        answer = pool.ask("bad");
      }
      CPPUNIT_ASSERT_MESSAGE(std::string(row.label) + answer, answer.starts_with("HTTP/1.1 503"));
      CPPUNIT_ASSERT_MESSAGE(row.label, answer.find("Retry-After: 3600") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, 3, pool.upstreamsReached());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, std::uint64_t{1},
                                   pool.rig().metrics().counter("hallchute_requests_refused_total",
                                                                "reason=\"crashesUpstreams\""));
      const int runs = pool.runs();
      pool.ask("bad");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, runs, pool.runs());
      // Other requests are dispatched.
      pool.ask("other");
      CPPUNIT_ASSERT_MESSAGE(row.label, pool.runs() > runs);
    }
  }

  /// The upstream ends a moment after the gateway cancelled the run, as its caller had left.
  void crashesAfterTheCallerLeftCount() {
    constexpr int kUpstreams = 6;
    // Three that end and as many arrivals as a request may make after that.
    constexpr int kMaxEnded = 6;
    Pool pool(WorkKind::once, kUpstreams, {{"", UpstreamScript::Then::hang}});
    for (int i = 0; i < kMaxAttempts; ++i) pool.askAndLeave("bad");
    CPPUNIT_ASSERT_MESSAGE(std::to_string(pool.upstreamsEnded()) + " upstreams ended",
                           pool.upstreamsEnded() >= 3 && pool.upstreamsEnded() <= kMaxEnded);
  }

  void attemptsThatRunAreNotRefused() {
    // Each upstream breaks its first request off and answers all others.
    Pool pool(WorkKind::once, 3, {kCrash, kAnswer});
    for (int i = 0; i < 12; ++i) {
      const std::string answer = pool.ask("good");
      CPPUNIT_ASSERT_MESSAGE(answer, !answer.starts_with("HTTP/1.1 503"));
      pool.ask("warm-up" + std::to_string(i));
    }
    CPPUNIT_ASSERT(pool.ask("good").starts_with("HTTP/1.1 200"));
  }

  void answersThatCantBeReadAreNoCrashes() {
    Pool pool(WorkKind::repeatable, 6, {{"nonsense\r\n\r\n", UpstreamScript::Then::keep}});
    for (int i = 0; i < kMaxAttempts; ++i) {
      const std::string answer = pool.ask("good");
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502"));
    }
  }

  void theStoreKeepsTheQuarantine() {
    Standin::ObjectStoreStandin standin;
    Standin::StandinServer server("127.0.0.1:0", [&](const Standin::Request& request,
                                                     Poco::Net::HTTPServerResponse& response) {
      standin.handle(request, response);
    });
    const ObjectStore store(server.address(), "127.0.0.1");
    PlatformDuties duties(store, server.address(), "127.0.0.1");
    DutyRecord record;
    record.holder = {DaemonId("a"), 1, 1};
    record.crashHistories = {historyOf(1), historyOf(0xfedcba9876543210)};
    CPPUNIT_ASSERT(duties.create(record).ok());
    const auto stored = duties.read(ReadConsistency::latest);
    CPPUNIT_ASSERT(stored.ok());
    CPPUNIT_ASSERT(stored->record.crashHistories == record.crashHistories);
  }

  /// The next holder keeps what the record holds until it has had the time to merge it.
  void aHolderRecordsTheQuarantineAtOnce() {
    const DutyPolicy policy{Millis(3'000), Millis(5'000), Millis(10'000)};
    DutyStateMachine machine(policy, DaemonId("a"), 1);
    StoredDutyRecord stored;
    stored.record.crashHistories = {historyOf(5)};
    stored.revision = 1;
    machine.noteRead(stored, at(0));
    DutyFacts facts;
    facts.live[DaemonId("a")] = 1;
    facts.wallClock = Millis(1'000'000);
    const auto write = [&](int ms) -> std::vector<CrashHistory> {
      const DutyStep step = machine.next(facts, at(ms));
      const auto* change = std::get_if<DutySteps::Write>(&step);
      if (change == nullptr) return {};
      machine.noteOutcome(DutyOutcome::done, ++stored.revision, at(ms));
      return change->record.crashHistories;
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, write(0).size());
    facts.crashHistories = {historyOf(3)};
    CPPUNIT_ASSERT((write(250) == std::vector{historyOf(3), historyOf(5)}));
    CPPUNIT_ASSERT(write(500).empty());
    // It has been told of all that the record held: one was cleared since.
    CPPUNIT_ASSERT((write(4'000) == std::vector{historyOf(3)}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashQuarantineTest);

}  // namespace
