// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

// An upstream that crashes may start again under the id that it had. The new process holds no
// cache, runs none of the requests of before and has failed nothing: the state recorded for
// the old one must be discarded. Before, an upstream that had announced its leave was never used
// again after it had restarted, an ejection caused by the crash kept work away from the new
// process, and requests that the crash had interrupted were subtracted from its load.

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "GatewayRig.h"
#include "Hallchute/Fleet"
#include "Hallchute/Gateway"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
const UpstreamId kId("a");

Instant at(int ms) {
  return kStart + Millis(ms);
}

UpstreamRecord record(std::uint64_t incarnation, UpstreamState state = UpstreamState::ready) {
  UpstreamRecord made = upstreamAt("a", "10.0.0.1:80");
  made.incarnation = incarnation;
  made.state = state;
  return made;
}

const UpstreamEntry* pick(const UpstreamTable& table, int ms) {
  UpstreamCriteria wish;
  wish.service = ServiceName("s");
  return pickUpstream(table, wish, at(ms));
}

class UpstreamRestartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamRestartTest);
  CPPUNIT_TEST(nothingOfBeforeIsBelieved);
  CPPUNIT_TEST(aRestartTellsTheOwnersOfConnections);
  CPPUNIT_TEST(wordsOnTheOneBeforeChangeNothing);
  CPPUNIT_TEST(itsCacheIsEmpty);
  CPPUNIT_TEST_SUITE_END();

 public:
  void nothingOfBeforeIsBelieved() {
    struct Row {
      const char* story;
      std::function<void(UpstreamTable&)> before;
    };
    const std::vector<Row> rows{
        {"it was leaving", [](UpstreamTable& t) { t.noteDraining(kId); }},
        {"it told the directory that it leaves",
         [](UpstreamTable& t) {
           t.replace(std::vector<UpstreamRecord>{record(100, UpstreamState::draining)}, at(10));
         }},
        {"it had failed",
         [](UpstreamTable& t) {
           for (int i = 0; i < 8; ++i) {
             t.noteDispatched(kId);
             t.noteEnded(kId, DispatchResult::broken, at(10));
           }
         }},
        {"its entry was gone",
         [](UpstreamTable& t) { t.replace(std::vector<UpstreamRecord>{}, at(10)); }},
        {"another was at its address", [](UpstreamTable& t) { t.noteAddressReused(kId, at(10)); }},
        {"it was at work", [](UpstreamTable& t) { t.noteDispatched(kId, 5'000); }},
    };
    for (const Row& row : rows) {
      UpstreamTable table;
      table.replace(std::vector<UpstreamRecord>{record(100)}, at(0));
      row.before(table);
      table.replace(std::vector<UpstreamRecord>{record(200)}, at(500));
      CPPUNIT_ASSERT_MESSAGE(row.story, pick(table, 500) != nullptr);
      const UpstreamEntry& entry = table.entries().at(kId);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.story, 0U, entry.consecutiveFailures);
      CPPUNIT_ASSERT_MESSAGE(row.story, entry.ejectedUntil <= at(500));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.story, 0U, entry.own.requests);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.story, std::uint64_t{0}, entry.own.pendingPrefillTokens);
      CPPUNIT_ASSERT_MESSAGE(row.story, entry.listedSince == at(500));
    }
  }

  void aRestartTellsTheOwnersOfConnections() {
    UpstreamTable table;
    table.replace(std::vector<UpstreamRecord>{record(100)}, at(0));
    CPPUNIT_ASSERT(table.replace(std::vector<UpstreamRecord>{record(100)}, at(100)).empty());
    const std::vector<UpstreamId> ended =
        table.replace(std::vector<UpstreamRecord>{record(200)}, at(200));
    CPPUNIT_ASSERT(ended == std::vector<UpstreamId>{kId});
    // A list without incarnations: the last known process is kept.
    CPPUNIT_ASSERT(table.replace(std::vector<UpstreamRecord>{record(0)}, at(400)).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, table.entries().at(kId).record.incarnation);
    // Lists only get newer: a lower number is a start after the host's clock was set back.
    CPPUNIT_ASSERT(!table.replace(std::vector<UpstreamRecord>{record(150)}, at(500)).empty());
  }

  void wordsOnTheOneBeforeChangeNothing() {
    UpstreamTable table;
    table.replace(std::vector<UpstreamRecord>{record(100)}, at(0));
    table.noteDispatched(kId, 700);
    table.replace(std::vector<UpstreamRecord>{record(200)}, at(500));
    table.noteDispatched(kId, 300);
    // Requests interrupted by the crash end later, and a peer's report on the old process is late.
    for (int i = 0; i < 3; ++i) table.noteEnded(kId, DispatchResult::broken, at(510), 100);
    table.notePromptDone(kId, 700, 100);
    table.noteDraining(kId, 100);
    CPPUNIT_ASSERT(pick(table, 520) != nullptr);
    const UpstreamEntry& entry = table.entries().at(kId);
    CPPUNIT_ASSERT_EQUAL(1U, entry.own.requests);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, entry.own.pendingPrefillTokens);
    CPPUNIT_ASSERT_EQUAL(0U, entry.consecutiveFailures);
    table.noteDraining(kId, 200);
    CPPUNIT_ASSERT(pick(table, 530) == nullptr);
    // A daemon that knows it by an older list must not take the new process for the old one.
    UpstreamTable behind;
    behind.replace(std::vector<UpstreamRecord>{record(100)}, at(0));
    behind.noteDraining(kId, 200);
    CPPUNIT_ASSERT(pick(behind, 10) == nullptr);
    behind.replace(std::vector<UpstreamRecord>{record(200)}, at(20));
    CPPUNIT_ASSERT(pick(behind, 30) == nullptr);
    behind.replace(std::vector<UpstreamRecord>{record(300)}, at(40));
    CPPUNIT_ASSERT(pick(behind, 50) != nullptr);
  }

  /// Its affinity keys return to it, and it copies the missing cache from the upstream that served
  /// them meanwhile.
  void itsCacheIsEmpty() {
    UpstreamTable table;
    UpstreamRecord other = record(50);
    other.id = UpstreamId("b");
    table.replace(std::vector<UpstreamRecord>{record(100), other}, at(0));
    table.replace(std::vector<UpstreamRecord>{record(200), other}, at(60'000));
    UpstreamCriteria wish;
    wish.service = ServiceName("s");
    wish.sharedTokens = 5'000;
    for (int i = 0; i < 50; ++i) {
      wish.affinity = "subject " + std::to_string(i);
      const auto& entries = table.entries();
      const UpstreamEntry* source = cacheSource(table, wish, entries.at(kId), at(61'000));
      CPPUNIT_ASSERT_MESSAGE(wish.affinity, source == &entries.at(other.id));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamRestartTest);

}  // namespace
