// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "AnswerScripts.h"
#include "GatewayRig.h"
#include "Hallchute/Duty"
#include "ScriptedUpstream.h"
#include "StoredRecord.h"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
constexpr int kMaxAttempts = 20;
/// How long a caller waits that leaves before the upstream ends.
constexpr Millis kLeaveDelay{100};
const UpstreamScript kCrash{"", UpstreamScript::Then::reset};
const UpstreamScript kAnswer{kPlainAnswer};

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
  std::string ask(const std::string& body, const std::string& fields = "") {
    RawCaller caller(rig_.address());
    caller.send(requestText("POST", fields, body));
    return caller.read("\r\n\r\n");
  }
  /// From now on all upstreams are new ones that follow these scripts.
  void replace(const std::vector<UpstreamScript>& scripts) {
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      replaced_.push_back(std::move(upstreams_[i]));
      upstreams_[i] = std::make_unique<ScriptedUpstream>(scripts);
      records_[i].id = UpstreamId("u" + std::to_string(replaced_.size()) + "-new");
      records_[i].address = upstreams_[i]->address();
    }
    rig_.setUpstreams(records_);
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
  std::vector<std::unique_ptr<ScriptedUpstream>> replaced_;
  int ended_ = 0;
  GatewayRig rig_;
};

class CrashQuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashQuarantineTest);
  CPPUNIT_TEST(aRequestThatCrashedThreeUpstreamsIsRefused);
  CPPUNIT_TEST(aPromptPartThatCrashesUpstreamsIsRefused);
  CPPUNIT_TEST(crashesAfterTheCallerLeftCount);
  CPPUNIT_TEST(abandonedRunsCountOnlyWithProof);
  CPPUNIT_TEST(signsOfAnEnd);
  CPPUNIT_TEST(attemptsThatRunAreNotRefused);
  CPPUNIT_TEST(answersThatCantBeReadAreNoCrashes);
  CPPUNIT_TEST(theStoreKeepsTheQuarantine);
  CPPUNIT_TEST(aHolderRecordsTheQuarantineAtOnce);
  CPPUNIT_TEST_SUITE_END();

  static std::string prompt(const std::string& part) {
    return "Hallchute-Prompt-Prefix: aa:10," + part + ":10,ff:10\r\n";
  }

 public:
  /// No two requests are alike; those with other parts share their first one, with which answers
  /// began, and their last one, which is nobody's fault.
  void aPromptPartThatCrashesUpstreamsIsRefused() {
    Pool pool(WorkKind::repeatable, 9, {kAnswer});
    CPPUNIT_ASSERT(pool.ask("sound", prompt("bb")).starts_with("HTTP/1.1 200"));
    pool.replace({kCrash});
    for (int i = 0; i < kMaxAttempts; ++i) {
      pool.ask("one " + std::to_string(i), prompt("c1"));
      pool.ask("two " + std::to_string(i), prompt("c2"));
    }
    // Five crashes and three requests more for each of the two parts.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(pool.runs()), pool.runs() <= 16);
    pool.replace({kAnswer});
    CPPUNIT_ASSERT(pool.ask("sound again", prompt("bb")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(pool.ask("another part", prompt("dd")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(pool.ask("bad again", prompt("c1")).starts_with("HTTP/1.1 503"));
  }

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

  /// Runs of a content are abandoned at as many upstreams as the limit allows to crash.
  void abandonedRunsCountOnlyWithProof() {
    enum class Then { livesOn, othersCancelled, refuses, vanishes, restarts, restartsAsAnnounced };
    struct Row {
      const char* label;
      Then then;
      bool refused;
    };
    for (const Row& row : {Row{"lives on", Then::livesOn, false},
                           Row{"this side resets others", Then::othersCancelled, false},
                           Row{"refuses connections", Then::refuses, true},
                           Row{"vanishes from the directory", Then::vanishes, false},
                           Row{"restarts", Then::restarts, true},
                           Row{"restarts as announced", Then::restartsAsAnnounced, false}}) {
      GatewayRig rig;
      rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
      for (std::size_t i = 0; i < CrashLedger::kMaxCrashes; ++i) {
        auto upstream = std::make_unique<ScriptedUpstream>(
            std::vector<UpstreamScript>{{"", UpstreamScript::Then::hang}});
        UpstreamRecord record = upstreamAt("u" + std::to_string(i), upstream->address());
        record.incarnation = 1;
        rig.setUpstreams({record});
        std::vector<std::unique_ptr<RawCaller>> callers;
        const int others = row.then == Then::othersCancelled ? 3 : 0;
        for (int c = 0; c <= others; ++c) {
          callers.push_back(std::make_unique<RawCaller>(rig.address()));
          callers.back()->send(requestText("POST", "", c == 0 ? "bad" : std::to_string(c)));
        }
        upstream->awaitRequests(callers.size());
        for (int c = 0; c <= others; ++c) {
          callers[static_cast<std::size_t>(c)]->close();
          upstream->awaitCancelled(c + 1);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, others + 1, upstream->cancelled());
        switch (row.then) {
          case Then::livesOn:
          case Then::othersCancelled:
            break;
          case Then::refuses: {
            upstream.reset();
            RawCaller other(rig.address());
            other.send(requestText("POST", "", "other"));
            CPPUNIT_ASSERT(other.read("\r\n\r\n").starts_with("HTTP/1.1 503"));
            break;
          }
          case Then::vanishes:
            rig.setUpstreams({});
            break;
          case Then::restartsAsAnnounced:
            record.state = UpstreamState::draining;
            rig.setUpstreams({record});
            record.state = UpstreamState::ready;
            [[fallthrough]];
          case Then::restarts:
            ++record.incarnation;
            rig.setUpstreams({record});
            break;
        }
      }
      const ScriptedUpstream good({kAnswer});
      rig.setUpstreams({upstreamAt("good", good.address())});
      RawCaller caller(rig.address());
      caller.send(requestText("POST", "", "bad"));
      const std::string answer = caller.read("\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(row.label + answer,
                             answer.starts_with(row.refused ? "HTTP/1.1 503" : "HTTP/1.1 200"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.label, std::uint64_t{row.refused ? 1U : 0U},
          rig.metrics().counter("hallchute_requests_refused_total", "reason=\"crashesUpstreams\""));
    }
  }

  void signsOfAnEnd() {
    const UpstreamIncarnation own(UpstreamId("u1"), 7);
    const UpstreamIncarnation later(UpstreamId("u1"), 8);
    const UpstreamIncarnation foreign(UpstreamId("u2"), 7);
    struct Sign {
      UpstreamIncarnation upstream;
      bool processEnded;
      int ms;
    };
    struct Row {
      const char* label;
      std::vector<Sign> signs;
      std::size_t crashes;
    };
    const int memory = static_cast<int>(AbandonedRuns::kMemory.count());
    for (const Row& row : std::vector<Row>{
             {"none", {}, 0},
             {"one connection", {{own, false, 50}}, 0},
             {"two connections", {{own, false, 50}, {own, false, 51}}, 1},
             {"one each of two processes", {{own, false, 50}, {later, false, 51}}, 0},
             {"one each of two upstreams", {{own, false, 50}, {foreign, false, 51}}, 0},
             {"the second too late", {{own, false, memory}, {own, false, memory + 1}}, 0},
             {"the process", {{own, true, 50}}, 1},
             {"the process at the last moment", {{own, true, memory}}, 1},
             {"the process too late", {{own, true, memory + 1}}, 0},
             {"another process", {{later, true, 50}}, 0},
             {"another upstream", {{foreign, true, 50}}, 0},
             {"the process twice", {{own, true, 50}, {own, true, 51}}, 1}}) {
      AbandonedRuns runs;
      runs.note({RequestFingerprint{1}}, own, at(0));
      std::size_t crashes = 0;
      for (const Sign& sign : row.signs) {
        crashes += (sign.processEnded ? runs.noteProcessEnded(sign.upstream, at(sign.ms))
                                      : runs.noteConnectionEnded(sign.upstream, at(sign.ms)))
                       .size();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, row.crashes, crashes);
    }
    AbandonedRuns full;
    for (std::size_t i = 0; i <= AbandonedRuns::kMaxRuns; ++i) {
      full.note({RequestFingerprint{i}}, own, at(0));
    }
    const auto kept = full.noteProcessEnded(own, at(1));
    CPPUNIT_ASSERT_EQUAL(AbandonedRuns::kMaxRuns, kept.size());
    CPPUNIT_ASSERT(kept.front().content == RequestFingerprint{1});
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
    DutyRecord record;
    record.holder = {DaemonId("a"), 1, 1};
    record.crashHistories = {historyOf(1), historyOf(0xfedcba9876543210)};
    CPPUNIT_ASSERT(storeAndRead(record).crashHistories == record.crashHistories);
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
