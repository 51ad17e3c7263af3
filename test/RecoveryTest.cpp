// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include "Hallchute/Recovery"

namespace {

using namespace Hallchute;

AnswerChunk chunk(std::uint64_t epoch, std::size_t offset, const char* token, bool end = false) {
  return {epoch, offset, token, end};
}

std::string wordOf(const Migration& migration) {
  if (std::holds_alternative<FinishInPlace>(migration)) return "finish";
  return std::holds_alternative<MoveCache>(migration) ? "move" : "recompute";
}

class RecoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecoveryTest);
  CPPUNIT_TEST(onlyTheNextTokenOfThisAttemptIsTaken);
  CPPUNIT_TEST(anAnswerGoesOnAcrossAttempts);
  CPPUNIT_TEST(migrationsFitTheWindow);
  CPPUNIT_TEST(theDearestMovesFirst);
  CPPUNIT_TEST(theBudgetBoundsRetries);
  CPPUNIT_TEST(recordsReadBackAsWritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void onlyTheNextTokenOfThisAttemptIsTaken() {
    struct Case {
      AnswerChunk chunk;
      ChunkResult verdict;
    };
    // After two tokens of epoch 2.
    const Case cases[] = {
        {chunk(2, 2, "c"), ChunkResult::appended},
        {chunk(1, 2, "c"), ChunkResult::otherEpoch},
        {chunk(3, 2, "c"), ChunkResult::otherEpoch},
        {chunk(2, 1, "b"), ChunkResult::duplicate},
        {chunk(2, 3, "d"), ChunkResult::gap},
        {chunk(2, 2, "", true), ChunkResult::finished},
        {chunk(2, 5, "", true), ChunkResult::gap},
        {chunk(2, 1, "", true), ChunkResult::gap},
        {chunk(1, 2, "", true), ChunkResult::otherEpoch},
    };
    for (const Case& c : cases) {
      AnswerAssembler answer;
      answer.beginAttempt();
      answer.beginAttempt();
      answer.accept(chunk(2, 0, "a"));
      answer.accept(chunk(2, 1, "b"));
      CPPUNIT_ASSERT(answer.accept(c.chunk) == c.verdict);
      CPPUNIT_ASSERT_EQUAL(c.verdict == ChunkResult::finished, answer.finished());
      CPPUNIT_ASSERT_EQUAL(c.verdict == ChunkResult::appended ? std::size_t(3) : std::size_t(2),
                           answer.tokens().size());
    }
  }

  void anAnswerGoesOnAcrossAttempts() {
    AnswerAssembler answer;
    answer.restore(4, {"a", "b"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), answer.beginAttempt());
    CPPUNIT_ASSERT(answer.accept(chunk(4, 2, "stale")) == ChunkResult::otherEpoch);
    answer.accept(chunk(5, 2, "c"));
    CPPUNIT_ASSERT(answer.accept(chunk(5, 3, "", true)) == ChunkResult::finished);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), answer.textFrom(0));
    CPPUNIT_ASSERT(answer.accept(chunk(5, 3, "more")) == ChunkResult::otherEpoch);
  }

  void migrationsFitTheWindow() {
    struct Case {
      RunningStream stream;
      LeaveWindow window;
      const char* word;
    };
    const auto stream = [](std::size_t context, std::size_t remaining, double rate) {
      return RunningStream{1, context, remaining, rate, 1};
    };
    const Case cases[] = {
        {stream(1'000, 50, 100), {Millis(1'000), 1e5}, "finish"},
        {stream(1'000, 100, 100), {Millis(1'000), 1e5}, "move"},
        {stream(1'000, 100, 0), {Millis(1'000), 1e5}, "move"},
        {stream(1'000, 100, 100), {Millis(1'000), 0}, "recompute"},
        {stream(1'000, 100, 100), {Millis(0), 1e5}, "recompute"},
        {stream(200'000, 1'000, 100), {Millis(1'000), 1e5}, "recompute"},
        {stream(1'000, 0, 100), {Millis(0), 1e5}, "finish"},
    };
    for (const Case& c : cases) {
      const auto plan = planMigrations(std::vector<RunningStream>{c.stream}, c.window);
      CPPUNIT_ASSERT_EQUAL(std::string(c.word), wordOf(plan.front().migration));
    }
  }

  void theDearestMovesFirst() {
    // Each move takes 0.55 s of the 1.2 s: two fit.
    std::vector<RunningStream> streams;
    for (std::uint64_t i = 1; i <= 4; ++i) streams.push_back({i, 50'000, 9'999, 10, double(i)});
    const auto plan = planMigrations(streams, {Millis(1'200), 1e5});
    const std::vector<std::pair<std::uint64_t, std::string>> expected{
        {4, "move"}, {3, "move"}, {2, "recompute"}, {1, "recompute"}};
    for (std::size_t i = 0; i < plan.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(expected[i].first, plan[i].stream);
      CPPUNIT_ASSERT_EQUAL(expected[i].second, wordOf(plan[i].migration));
    }
  }

  void theBudgetBoundsRetries() {
    RetryBudget budget(0.2);
    int retries = 0;
    for (int i = 0; i < 1'000; ++i) {
      budget.recordFirstAttempt();
      // Every attempt fails and asks for three retries.
      for (int r = 0; r < 3; ++r) retries += budget.tryConsumeRetry() ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(retries), retries >= 200 && retries <= 251);
  }

  void recordsReadBackAsWritten() {
    HandOverRecord written;
    written.request = RequestId("r-1");
    written.holder = DaemonId("h");
    written.generation = 3;
    written.epoch = 7;
    written.organisation = OrganisationName("o");
    written.service = ServiceName("s");
    written.workClass = WorkClassName("c");
    written.prompt = "user: \"quoted\"\n";
    written.chat = false;
    written.maxTokens = 40;
    written.tokens = {"a ", "\xc3\xa9 "};
    Findings findings;
    const HandOverRecord read = parseHandOver(handOverText(written), findings);
    CPPUNIT_ASSERT_MESSAGE(describe(findings), findings.empty());
    CPPUNIT_ASSERT_EQUAL(written.prompt, read.prompt);
    CPPUNIT_ASSERT(written.tokens == read.tokens);
    CPPUNIT_ASSERT_EQUAL(written.epoch, read.epoch);
    CPPUNIT_ASSERT_EQUAL(written.generation, read.generation);
    CPPUNIT_ASSERT(!read.chat);
    parseHandOver(R"({"request":"r"})", findings);
    CPPUNIT_ASSERT(!findings.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecoveryTest);

}  // namespace
