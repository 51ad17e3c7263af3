// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include "Hallchute/Ledger"

namespace {

using namespace Hallchute;

OnceRecord record(const char* attempt, OnceState state = OnceState::started,
                  const char* digest = "d") {
  OnceRecord made;
  made.attempt = attempt;
  made.digest = digest;
  made.holder = DaemonId("h");
  made.state = state;
  made.status = state == OnceState::done ? 200 : 0;
  made.body = "answer";
  return made;
}

RecordFound found(const OnceRecord& record, bool holderMayBeAlive = true) {
  return {record, 9, holderMayBeAlive};
}

/// How an attempt ended: what it says, and how often it dispatched.
struct Ending {
  std::string word;
  int dispatches = 0;
  bool later = false;
};

/// Feeds \p events to a new attempt; stops at its end or when they run out.
Ending play(const std::vector<OnceEvent>& events) {
  OnceAttempt attempt(record("mine"));
  OnceStep step = attempt.start();
  Ending ending{"open", 0, false};
  for (const OnceEvent& event : events) {
    step = attempt.next(event);
    if (std::holds_alternative<DispatchRequest>(step)) ++ending.dispatches;
    if (const auto* answer = std::get_if<AnswerWithRecord>(&step)) {
      ending.word = answer->record.state == OnceState::done ? "answer" : "answer-unknown";
      ending.later = answer->storeLater;
      return ending;
    }
    if (const auto* refuse = std::get_if<RefuseRequest>(&step)) {
      ending.word = std::string(reasonName(refuse->refusal.reason)) + "/" +
                    std::string(outcomeName(refuse->refusal.outcome));
      ending.later = refuse->abandonLater;
      return ending;
    }
  }
  return ending;
}

/// The events that may answer \p step.
std::vector<OnceEvent> repliesTo(const OnceStep& step, bool recordMayStand) {
  std::vector<OnceEvent> replies;
  if (std::holds_alternative<WriteRecord>(step)) {
    replies = {RecordWritten{3}, RecordConflict{}, RecordWriteUnknown{}, RecordWriteRefused{}};
  } else if (std::holds_alternative<ReadRecord>(step)) {
    replies = {RecordAbsent{},
               RecordReadFailed{},
               found(record("other")),
               found(record("other"), false),
               found(record("other", OnceState::done)),
               found(record("other", OnceState::abandoned))};
    if (recordMayStand) replies.emplace_back(found(record("mine")));
  } else if (std::holds_alternative<DispatchRequest>(step)) {
    replies = {DispatchAnswered{200, "t", "b"}, DispatchNeverSent{"n"}, DispatchMaybeSent{"m"}};
  }
  return replies;
}

class LedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LedgerTest);
  CPPUNIT_TEST(eachFaultEndsAsItShould);
  CPPUNIT_TEST(anothersRecordThatStandsIsNoProof);
  CPPUNIT_TEST(anInvalidRecordIsNoProof);
  CPPUNIT_TEST(noSequenceDispatchesTwiceOrWithoutItsRecord);
  CPPUNIT_TEST(recordsReadBackAsWritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void eachFaultEndsAsItShould() {
    const OnceEvent written = RecordWritten{3};
    const OnceEvent lost = RecordWriteUnknown{};
    const OnceEvent answered = DispatchAnswered{200, "t", "b"};
    struct Case {
      const char* name;
      std::vector<OnceEvent> events;
      const char* word;
      int dispatches;
      bool later;
    };
    const Case cases[] = {
        {"plain sailing", {written, answered, written}, "answer", 1, false},
        {"create reply lost, it stands",
         {lost, found(record("mine")), answered, written},
         "answer",
         1,
         false},
        {"create reply lost, it does not stand",
         {lost, RecordAbsent{}, written, answered, written},
         "answer",
         1,
         false},
        {"create reply lost, another came first",
         {lost, found(record("other"))},
         "in-progress/unknown",
         0,
         false},
        {"platform out", {RecordWriteRefused{}}, "platform-out/not-run", 0, false},
        {"reply lost, then out", {lost, RecordReadFailed{}}, "platform-out/not-run", 0, true},
        {"in progress elsewhere",
         {RecordConflict{}, found(record("other"))},
         "in-progress/unknown",
         0,
         false},
        {"holder gone",
         {RecordConflict{}, found(record("other"), false)},
         "outcome-unknown/unknown",
         0,
         false},
        {"done before",
         {RecordConflict{}, found(record("other", OnceState::done))},
         "answer",
         0,
         false},
        {"not known before",
         {RecordConflict{}, found(record("other", OnceState::unknown))},
         "outcome-unknown/unknown",
         0,
         false},
        {"abandoned before",
         {RecordConflict{}, found(record("other", OnceState::abandoned)), written, answered,
          written},
         "answer",
         1,
         false},
        {"key of another request",
         {RecordConflict{}, found(record("other", OnceState::done, "e"))},
         "idempotency-key-reused/not-run",
         0,
         false},
        {"never sent", {written, DispatchNeverSent{"x"}}, "upstream-failed/not-run", 1, true},
        {"maybe sent", {written, DispatchMaybeSent{"x"}, written}, "answer-unknown", 1, false},
        {"outcome not stored", {written, answered, RecordWriteRefused{}}, "answer", 1, true},
        {"outcome's reply lost, it stands",
         {written, answered, lost, found(record("mine", OnceState::done))},
         "answer",
         1,
         false},
        {"outcome's reply lost, it does not stand",
         {written, answered, lost, found(record("mine")), written},
         "answer",
         1,
         false},
    };
    for (const Case& c : cases) {
      const Ending ending = play(c.events);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.word), ending.word);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.dispatches, ending.dispatches);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.later, ending.later);
    }
  }

  /// An earlier attempt with the same key may have run.
  void anothersRecordThatStandsIsNoProof() {
    const OnceEvent abandoned = found(record("other", OnceState::abandoned));
    const std::string unknown = "platform-out/unknown";
    const std::string notRun = "platform-out/not-run";
    CPPUNIT_ASSERT_EQUAL(unknown, play({RecordConflict{}, RecordReadFailed{}}).word);
    CPPUNIT_ASSERT_EQUAL(
        unknown, play({RecordConflict{}, abandoned, RecordConflict{}, RecordReadFailed{}}).word);
    CPPUNIT_ASSERT_EQUAL(notRun, play({RecordConflict{}, abandoned, RecordWriteRefused{}}).word);
    CPPUNIT_ASSERT_EQUAL(notRun,
                         play({RecordConflict{}, RecordAbsent{}, RecordWriteRefused{}}).word);
  }

  void anInvalidRecordIsNoProof() {
    const OnceEvent invalid = found(record("", OnceState::unknown, ""));
    CPPUNIT_ASSERT_EQUAL(std::string("outcome-unknown/unknown"),
                         play({RecordConflict{}, invalid}).word);
  }

  void noSequenceDispatchesTwiceOrWithoutItsRecord() {
    OnceAttempt attempt(record("mine"));
    std::size_t endings = 0;
    explore(attempt, attempt.start(), 0, false, 0, endings);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(endings), endings > 1'000);
  }

  void recordsReadBackAsWritten() {
    OnceRecord written = record("a", OnceState::done);
    written.body = std::string("bytes \0 \xff \n", 11);
    written.contentType = "application/json";
    written.startedAtMs = 1'700'000'000'000;
    Findings findings;
    const OnceRecord read = parseOnce(onceText(written), findings);
    CPPUNIT_ASSERT(findings.empty());
    CPPUNIT_ASSERT_EQUAL(written.body, read.body);
    CPPUNIT_ASSERT_EQUAL(written.startedAtMs, read.startedAtMs);
    CPPUNIT_ASSERT(read.state == OnceState::done);
    parseOnce("{}", findings);
    CPPUNIT_ASSERT(!findings.empty());
  }

 private:
  /// Walks every sequence of replies to the given depth.
  void explore(const OnceAttempt& attempt, const OnceStep& step, int dispatches, bool mayStand,
               int depth, std::size_t& endings) {
    constexpr int kDepth = 9;
    const bool dispatch = std::holds_alternative<DispatchRequest>(step);
    if (dispatch) {
      CPPUNIT_ASSERT_MESSAGE("dispatched without its record", mayStand);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("dispatched twice", 0, dispatches);
      ++dispatches;
    }
    if (const auto* refuse = std::get_if<RefuseRequest>(&step)) {
      const bool ran = dispatches > 0 && refuse->refusal.reason != RefusalReason::upstreamFailed;
      CPPUNIT_ASSERT_MESSAGE("refused as not run after a dispatch",
                             !ran || refuse->refusal.outcome != RunOutcome::notRun);
    }
    const auto replies = repliesTo(step, mayStand);
    if (replies.empty() || depth == kDepth) {
      ++endings;
      return;
    }
    for (const OnceEvent& reply : replies) {
      OnceAttempt branch = attempt;
      const bool stands = mayStand || std::holds_alternative<RecordWritten>(reply) ||
                          std::holds_alternative<RecordWriteUnknown>(reply);
      explore(branch, branch.next(reply), dispatches, stands, depth + 1, endings);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

}  // namespace
