// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "GatewayRig.h"
#include "Hallchute/Gateway"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));

Instant at(int ms) {
  return kStart + Millis(ms);
}

class GatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTest);
  CPPUNIT_TEST(routesByTable);
  CPPUNIT_TEST(splitsByWeight);
  CPPUNIT_TEST(retriesStayInTheWindowsBudget);
  CPPUNIT_TEST(picksByTable);
  CPPUNIT_TEST(aSubjectHasOneHomeUntilItIsBusy);
  CPPUNIT_TEST(aSubjectLeavesAHomeWithMuchToRead);
  CPPUNIT_TEST(promptsCountUntilTheyAreRead);
  CPPUNIT_TEST(theHomeBeforeGivesItsCache);
  CPPUNIT_TEST(anUpstreamThatLeftIsALastResortForAShortWhile);
  CPPUNIT_TEST(drainingIsNeverTakenBack);
  CPPUNIT_TEST(failuresInARowShunAnUpstream);
  CPPUNIT_TEST(aDomainOutOfReachIsPassedOver);
  CPPUNIT_TEST(usageIsCountedByWindow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void routesByTable() {
    GatewaySettings settings;
    const auto add = [&](const std::string& name, const std::string& host,
                         const std::string& prefix) {
      Route route = plainRoute(WorkKind::once);
      route.name = name;
      route.host = host;
      route.pathPrefix = prefix;
      settings.routes.push_back(route);
    };
    add("root", "a.example", "/");
    add("long", "a.example", "/x/y/");
    add("short", "a.example", "/x/");
    add("other", "b.example", "/x/");
    const RouteTable table(settings);
    struct Row {
      std::string host, target, route;
    };
    const std::vector<Row> rows{{"a.example", "/x/y/z", "long"},
                                {"a.example", "/x/z", "short"},
                                {"a.example", "/q", "root"},
                                {"A.Example:8080", "/x/y/", "long"},
                                {"b.example", "/x/", "other"},
                                {"b.example", "/q", ""},
                                {"c.example", "/x/", ""},
                                {"a.example", "/x?p=/x/y/", "root"},
                                {"a.example", "/x/?p=/x/y/", "short"},
                                {"", "/x/", ""}};
    for (const Row& row : rows) {
      const Route* found = table.find(row.host, row.target);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.host + row.target, row.route,
                                   found == nullptr ? std::string() : found->name);
    }
  }

  void splitsByWeight() {
    Route route = plainRoute(WorkKind::once);
    route.targets = {{ServiceName("a"), 90}, {ServiceName("b"), 10}, {ServiceName("c"), 0}};
    int toB = 0;
    for (int i = 0; i < 2'000; ++i) {
      const std::string id = "request" + std::to_string(i);
      const ServiceName& target = RouteTable::pickTarget(route, id);
      CPPUNIT_ASSERT(target == RouteTable::pickTarget(route, id));
      CPPUNIT_ASSERT(target.str() != "c");
      if (target.str() == "b") ++toB;
    }
    CPPUNIT_ASSERT(toB > 140 && toB < 260);
  }

  void retriesStayInTheWindowsBudget() {
    const RetryAllowance allowance{0.2, 20, Millis(10'000)};
    RetryWindow window;
    for (int i = 0; i < 50; ++i) window.noteRequest(at(i));
    // Ten for the requests and seven tenths of a half of the slack.
    int taken = 0;
    while (window.takeRepeat(allowance, 2, at(100))) ++taken;
    CPPUNIT_ASSERT_EQUAL(17, taken);
    CPPUNIT_ASSERT(!window.takeRepeat(allowance, 2, at(9'000)));
    taken = 0;
    while (window.takeRepeat(allowance, 2, at(10'200))) ++taken;
    CPPUNIT_ASSERT_EQUAL(7, taken);
  }

  void picksByTable() {
    struct Row {
      std::string name;
      std::vector<std::string> draining, shunned, gone, tried;
      std::string expected;
    };
    const std::vector<Row> rows{
        {"the own domain's", {}, {}, {}, {}, "own"},
        {"not a draining one", {"own"}, {}, {}, {}, "far"},
        {"not a shunned one", {}, {"own"}, {}, {}, "far"},
        {"not one that left", {}, {}, {"own"}, {}, "far"},
        {"not one that was tried", {}, {}, {}, {"own"}, "far"},
        {"a shunned one if no other is left", {"far"}, {"own"}, {}, {}, "own"},
        {"one that left just now if no other is left", {"far"}, {}, {"own"}, {}, "own"},
        {"a shunned one before one that left", {}, {"far"}, {"own"}, {}, "far"},
        {"never a draining one", {"own", "far"}, {}, {}, {}, ""},
        {"never one twice", {}, {}, {}, {"own", "far"}, ""},
    };
    for (const Row& row : rows) {
      const auto has = [](const std::vector<std::string>& names, const std::string& name) {
        return std::find(names.begin(), names.end(), name) != names.end();
      };
      UpstreamTable table;
      std::vector<UpstreamRecord> records{record("own", "d1"), record("far", "d2")};
      UpstreamRecord stranger = record("stranger", "d1");
      stranger.service = ServiceName("t");
      records.push_back(stranger);
      table.replace(records, at(0));
      for (const std::string& id : row.draining) table.noteDraining(UpstreamId(id));
      for (const std::string& id : row.shunned) fail(table, id, 2, at(0));
      std::erase_if(records, [&](const UpstreamRecord& r) { return has(row.gone, r.id.str()); });
      table.replace(records, at(0));
      UpstreamCriteria wish = wishFor("");
      for (const std::string& id : row.tried) wish.tried.insert(UpstreamId(id));
      const UpstreamEntry* picked = pickUpstream(table, wish, at(10));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected,
                                   picked == nullptr ? "" : picked->record.id.str());
    }
  }

  void aSubjectHasOneHomeUntilItIsBusy() {
    UpstreamTable table;
    std::vector<UpstreamRecord> records;
    records.reserve(6);
    for (int i = 0; i < 6; ++i) records.push_back(record("u" + std::to_string(i), "d1"));
    table.replace(records, at(0));
    const UpstreamEntry* home = pickUpstream(table, wishFor("subject"), at(0));
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(pickUpstream(table, wishFor("subject"), at(i)) == home);
      table.noteDispatched(home->record.id);
    }
    for (int i = 0; i < 20; ++i) table.noteDispatched(home->record.id);
    const UpstreamEntry* second = pickUpstream(table, wishFor("subject"), at(0));
    CPPUNIT_ASSERT(second != home);
    // When another one leaves, only its own subjects move.
    std::erase_if(records, [&](const UpstreamRecord& r) {
      return r.id != home->record.id && r.id != second->record.id;
    });
    for (int i = 0; i < 25; ++i) {
      table.noteEnded(home->record.id, DispatchResult::answered, at(0));
    }
    table.replace(records, at(0));
    CPPUNIT_ASSERT(pickUpstream(table, wishFor("subject"), at(0)) == home);
  }

  void aSubjectLeavesAHomeWithMuchToRead() {
    struct Row {
      std::uint64_t sharedTokens;
      std::uint64_t unreadAtHome;
      std::uint64_t unreadElsewhere;
      bool staysHome;
    };
    const std::vector<Row> rows{
        {200, 0, 0, true},         {200, 2'500, 0, true},      {200, 3'000, 0, false},
        {5'000, 20'000, 0, true},  {5'000, 25'000, 0, false},  {5'000, 25'000, 10'000, true},
        {0, 50'000, 49'000, true}, {0, 50'000, 47'000, false},
    };
    for (std::size_t i = 0; i < rows.size(); ++i) {
      const Row& row = rows[i];
      UpstreamTable table;
      table.replace(std::vector{record("a", "d1"), record("b", "d1"), record("c", "d2")}, at(0));
      UpstreamCriteria wish = wishFor("subject");
      wish.sharedTokens = row.sharedTokens;
      const UpstreamEntry* home = pickUpstream(table, wish, at(0));
      UpstreamLoads heard;
      for (const auto& [id, entry] : table.entries()) {
        // One half of it is this daemon's own, the other one is heard of.
        const bool isHome = &entry == home;
        const std::uint64_t unread = (isHome ? row.unreadAtHome : row.unreadElsewhere) / 2;
        table.noteDispatched(id, unread);
        heard[id] = {1, unread};
      }
      table.setPeerLoads(heard);
      const bool stays = pickUpstream(table, wish, at(0)) == home;
      CPPUNIT_ASSERT_EQUAL_MESSAGE("row " + std::to_string(i), row.staysHome, stays);
    }
  }

  void promptsCountUntilTheyAreRead() {
    UpstreamTable table;
    table.replace(std::vector{record("a", "d1")}, at(0));
    const UpstreamId id("a");
    table.noteDispatched(id, 900);
    table.noteDispatched(id, 100);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1'000}, table.ownLoads().at(id).pendingPrefillTokens);
    table.notePromptDone(id, 900);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, table.ownLoads().at(id).pendingPrefillTokens);
    CPPUNIT_ASSERT_EQUAL(2U, table.ownLoads().at(id).requests);
    table.notePromptDone(id, 900);
    table.noteEnded(id, DispatchResult::answered, at(0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.ownLoads().at(id).pendingPrefillTokens);
  }

  void theHomeBeforeGivesItsCache() {
    UpstreamTable table;
    std::vector<UpstreamRecord> records;
    records.reserve(7);
    for (int i = 0; i < 6; ++i) records.push_back(record("u" + std::to_string(i), "d1"));
    table.replace(records, at(0));
    const UpstreamCriteria wish = wishFor("subject");
    const UpstreamEntry* home = pickUpstream(table, wish, at(0));
    CPPUNIT_ASSERT(cacheSource(table, wish, *home, at(0)) == nullptr);
    // It leaves: whoever comes after it copies from it, until it is gone.
    table.noteDraining(home->record.id);
    const UpstreamEntry* next = pickUpstream(table, wish, at(0));
    CPPUNIT_ASSERT(next != home);
    CPPUNIT_ASSERT(cacheSource(table, wish, *next, at(0)) == home);
    std::erase_if(records, [&](const UpstreamRecord& r) { return r.id == home->record.id; });
    table.replace(records, at(100));
    CPPUNIT_ASSERT(cacheSource(table, wish, *next, at(100)) == nullptr);
    // One that came lately copies from the home before it, as long as its cache fills.
    UpstreamTable grown;
    grown.replace(records, at(0));
    records.push_back(home->record);
    records.back().state = UpstreamState::ready;
    grown.replace(records, at(100));
    const UpstreamEntry* fresh = pickUpstream(grown, wish, at(200));
    CPPUNIT_ASSERT_EQUAL(home->record.id.str(), fresh->record.id.str());
    const UpstreamEntry* source = cacheSource(grown, wish, *fresh, at(200));
    CPPUNIT_ASSERT(source != nullptr && source->record.id == next->record.id);
    CPPUNIT_ASSERT(cacheSource(grown, wish, *fresh, at(20'000)) == nullptr);
    // One that fails, or is out of reach, is not asked.
    fail(grown, next->record.id.str(), 2, at(200));
    const UpstreamEntry* other = cacheSource(grown, wish, *fresh, at(210));
    CPPUNIT_ASSERT(other == nullptr || other->record.id != next->record.id);
  }

  void anUpstreamThatLeftIsALastResortForAShortWhile() {
    UpstreamTable table;
    table.replace(std::vector{record("a", "d1")}, at(0));
    const auto gone = table.replace({}, at(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gone.size());
    CPPUNIT_ASSERT(pickUpstream(table, wishFor(""), at(1'000)) != nullptr);
    CPPUNIT_ASSERT(pickUpstream(table, wishFor(""), at(1'700)) == nullptr);
    // It comes back when its entry does.
    table.replace(std::vector{record("a", "d1")}, at(2'000));
    CPPUNIT_ASSERT(pickUpstream(table, wishFor(""), at(2'000)) != nullptr);
    // One whose address another has taken over is not even that.
    table.noteAddressReused(UpstreamId("a"), at(2'000));
    CPPUNIT_ASSERT(pickUpstream(table, wishFor(""), at(2'000)) == nullptr);
  }

  void drainingIsNeverTakenBack() {
    UpstreamTable table;
    table.replace(std::vector{record("a", "d1")}, at(0));
    table.noteDraining(UpstreamId("a"));
    // A list from before the word came.
    table.replace(std::vector{record("a", "d1")}, at(10));
    CPPUNIT_ASSERT(pickUpstream(table, wishFor(""), at(10)) == nullptr);
  }

  void failuresInARowShunAnUpstream() {
    UpstreamTable table;
    table.replace(std::vector{record("a", "d1"), record("b", "d2")}, at(0));
    fail(table, "a", 1, at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), pickedAt(table, 1));
    fail(table, "a", 1, at(10));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), pickedAt(table, 20));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), pickedAt(table, 500));
    fail(table, "a", 1, at(500));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), pickedAt(table, 1'200));
    table.noteDispatched(UpstreamId("a"));
    table.noteEnded(UpstreamId("a"), DispatchResult::answered, at(1'250));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), pickedAt(table, 1'260));
  }

  /// Two upstreams that can't be reached tell of the others in their domain.
  void aDomainOutOfReachIsPassedOver() {
    UpstreamTable table;
    table.replace(
        std::vector{record("a", "d1"), record("b", "d1"), record("c", "d1"), record("far", "d2")},
        at(0));
    const auto unreachable = [&](const char* id, int ms) {
      table.noteDispatched(UpstreamId(id));
      table.noteEnded(UpstreamId(id), DispatchResult::unreachable, at(ms));
    };
    unreachable("a", 0);
    CPPUNIT_ASSERT(pickedAt(table, 10) != "far");
    unreachable("b", 100);
    CPPUNIT_ASSERT_EQUAL(std::string("far"), pickedAt(table, 110));
    // It is tried again after a while, and taken back with the first answer.
    const std::string tried = pickedAt(table, 705);
    CPPUNIT_ASSERT(tried != "far");
    unreachable(tried == "c" ? "c" : "b", 705);
    unreachable("a", 706);
    CPPUNIT_ASSERT_EQUAL(std::string("far"), pickedAt(table, 710));
    table.noteDispatched(UpstreamId("a"));
    table.noteEnded(UpstreamId("a"), DispatchResult::answered, at(800));
    CPPUNIT_ASSERT(pickedAt(table, 810) != "far");
  }

  void usageIsCountedByWindow() {
    UsageLedger ledger(Millis(5'000));
    const OrganisationName org("org");
    ledger.noteRun(org, Millis(4'999));
    ledger.noteRun(org, Millis(5'000));
    ledger.noteRun(org, Millis(9'999));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ledger.counts().at(0).at(org));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, ledger.counts().at(1).at(org));
    ledger.forgetBefore(1);
    CPPUNIT_ASSERT(!ledger.counts().contains(0));
  }

 private:
  static UpstreamRecord record(const std::string& id, const std::string& domain) {
    UpstreamRecord made = upstreamAt(id, "127.0.0.1:1");
    made.domain = DomainName(domain);
    return made;
  }
  static UpstreamCriteria wishFor(const std::string& affinity) {
    UpstreamCriteria wish;
    wish.service = ServiceName("s");
    wish.affinity = affinity;
    wish.ownDomain = DomainName("d1");
    wish.requestId = "q";
    return wish;
  }
  static void fail(UpstreamTable& table, const std::string& id, int times, Instant now) {
    for (int i = 0; i < times; ++i) {
      table.noteDispatched(UpstreamId(id));
      table.noteEnded(UpstreamId(id), DispatchResult::broken, now);
    }
  }
  static std::string pickedAt(const UpstreamTable& table, int ms) {
    const UpstreamEntry* picked = pickUpstream(table, wishFor(""), at(ms));
    return picked == nullptr ? "" : picked->record.id.str();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

}  // namespace
