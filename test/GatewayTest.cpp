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
  CPPUNIT_TEST(retriesStayWithinTheBudgetOfTheWindow);
  CPPUNIT_TEST(requestsOfOldWindowsAreForgotten);
  CPPUNIT_TEST(restartsDontRenewTheRetrySlack);
  CPPUNIT_TEST(picksByTable);
  CPPUNIT_TEST(affinityKeyKeepsItsUpstreamUntilItIsBusy);
  CPPUNIT_TEST(affinityKeyLeavesAnUpstreamWithALongPrefillBacklog);
  CPPUNIT_TEST(promptsCountAsBacklogUntilTheyAreProcessed);
  CPPUNIT_TEST(previousFirstChoiceIsTheCacheSource);
  CPPUNIT_TEST(unlistedUpstreamIsALastResortForAShortTime);
  CPPUNIT_TEST(drainingIsNotRevokedByAnOlderListing);
  CPPUNIT_TEST(consecutiveFailuresEjectAnUpstream);
  CPPUNIT_TEST(unreachableDomainIsEjected);
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

  void retriesStayWithinTheBudgetOfTheWindow() {
    const RetryAllowance allowance{0.2, 20, Millis(10'000)};
    RetryWindow window;
    RetrySlack slack;
    slack.setSharers(2, at(-60'000));
    const auto spend = [&](int ms) {
      int retries = 0;
      while (window.takeRetry(allowance, slack, at(ms))) ++retries;
      return retries;
    };
    for (int i = 0; i < 50; ++i) window.noteRequest(allowance, at(i));
    // Half of 10 for 20% of the requests, and half of 70% of this daemon's half of the slack, which
    // it earned in nine seconds.
    CPPUNIT_ASSERT_EQUAL(8, spend(100));
    // The slack of another nine seconds.
    CPPUNIT_ASSERT_EQUAL(3, spend(9'000));
    CPPUNIT_ASSERT_EQUAL(0, spend(9'010));
    // The first retries no longer count, nor do the requests soon.
    CPPUNIT_ASSERT_EQUAL(3, spend(21'000));
  }

  /// A service whose requests never fail.
  void requestsOfOldWindowsAreForgotten() {
    const RetryAllowance allowance{0.2, 20, Millis(10'000)};
    RetryWindow window;
    for (int ms = 0; ms < 100'000; ms += 10) window.noteRequest(allowance, at(ms));
    CPPUNIT_ASSERT(window.requestCount() <= 2'001);
  }

  /// A daemon that starts has forgotten the retries of its window; they still count for the fleet.
  void restartsDontRenewTheRetrySlack() {
    constexpr int kDaemons = 7;
    const RetryAllowance allowance{0.2, 70, Millis(10'000)};
    for (const std::vector<int>& restarts :
         {std::vector{3'000}, std::vector{2'000, 4'000, 6'000}, std::vector{500, 9'500}}) {
      std::vector<int> retries;
      std::vector<RetryWindow> windows(kDaemons);
      RetrySlack slack;
      slack.setSharers(kDaemons, at(-60'000));
      for (int ms = 0; ms < 30'000; ms += 10) {
        const bool restart = std::find(restarts.begin(), restarts.end(), ms) != restarts.end();
        if (restart) windows.assign(kDaemons, RetryWindow());
        if (restart) slack = RetrySlack();
        if (restart) slack.setSharers(kDaemons, at(ms));
        for (RetryWindow& window : windows) {
          while (window.takeRetry(allowance, slack, at(ms))) retries.push_back(ms);
        }
      }
      CPPUNIT_ASSERT(static_cast<double>(retries.size()) >= allowance.slack);
      for (std::size_t i = 0; i < retries.size(); ++i) {
        const auto end = std::upper_bound(retries.begin(), retries.end(), retries[i] + 9'999);
        const auto inWindow = end - retries.begin() - static_cast<std::ptrdiff_t>(i);
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(inWindow) + " retries, restarts " + std::to_string(restarts.size()),
            static_cast<double>(inWindow) <= allowance.slack);
      }
    }
  }

  void picksByTable() {
    struct Row {
      std::string name;
      std::vector<std::string> draining, ejected, unlisted, tried;
      std::string expected;
    };
    const std::vector<Row> rows{
        {"an upstream of the own domain", {}, {}, {}, {}, "own"},
        {"not a draining one", {"own"}, {}, {}, {}, "far"},
        {"not an ejected one", {}, {"own"}, {}, {}, "far"},
        {"not an unlisted one", {}, {}, {"own"}, {}, "far"},
        {"not one that was tried", {}, {}, {}, {"own"}, "far"},
        {"an ejected one if no other is left", {"far"}, {"own"}, {}, {}, "own"},
        {"a recently unlisted one if no other is left", {"far"}, {}, {"own"}, {}, "own"},
        {"an ejected one before an unlisted one", {}, {"far"}, {"own"}, {}, "far"},
        {"never a draining one", {"own", "far"}, {}, {}, {}, ""},
        {"none a second time", {}, {}, {}, {"own", "far"}, ""},
    };
    for (const Row& row : rows) {
      const auto has = [](const std::vector<std::string>& names, const std::string& name) {
        return std::find(names.begin(), names.end(), name) != names.end();
      };
      UpstreamTable table;
      std::vector<UpstreamRecord> records{record("own", "d1"), record("far", "d2")};
      UpstreamRecord otherService = record("stranger", "d1");
      otherService.service = ServiceName("t");
      records.push_back(otherService);
      table.replace(records, at(0));
      for (const std::string& id : row.draining) table.noteDraining(UpstreamId(id));
      for (const std::string& id : row.ejected) failRequests(table, id, 2, at(0));
      std::erase_if(records,
                    [&](const UpstreamRecord& r) { return has(row.unlisted, r.id.str()); });
      table.replace(records, at(0));
      UpstreamCriteria criteria = criteriaFor("");
      for (const std::string& id : row.tried) criteria.tried.insert(UpstreamId(id));
      const UpstreamEntry* picked = pickUpstream(table, criteria, at(10));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected,
                                   picked == nullptr ? "" : picked->record.id.str());
    }
  }

  void affinityKeyKeepsItsUpstreamUntilItIsBusy() {
    UpstreamTable table;
    std::vector<UpstreamRecord> records;
    records.reserve(6);
    for (int i = 0; i < 6; ++i) records.push_back(record("u" + std::to_string(i), "d1"));
    table.replace(records, at(0));
    const UpstreamEntry* firstChoice = pickUpstream(table, criteriaFor("subject"), at(0));
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(pickUpstream(table, criteriaFor("subject"), at(i)) == firstChoice);
      table.noteDispatched(firstChoice->record.id);
    }
    for (int i = 0; i < 20; ++i) table.noteDispatched(firstChoice->record.id);
    const UpstreamEntry* second = pickUpstream(table, criteriaFor("subject"), at(0));
    CPPUNIT_ASSERT(second != firstChoice);
    // When another upstream leaves, only the keys that were mapped to it move.
    std::erase_if(records, [&](const UpstreamRecord& r) {
      return r.id != firstChoice->record.id && r.id != second->record.id;
    });
    for (int i = 0; i < 25; ++i) {
      table.noteEnded(firstChoice->record.id, DispatchResult::answered, at(0));
    }
    table.replace(records, at(0));
    CPPUNIT_ASSERT(pickUpstream(table, criteriaFor("subject"), at(0)) == firstChoice);
  }

  void affinityKeyLeavesAnUpstreamWithALongPrefillBacklog() {
    struct Row {
      std::uint64_t sharedTokens;
      std::uint64_t backlogAtFirstChoice;
      std::uint64_t backlogElsewhere;
      bool staysAtFirstChoice;
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
      UpstreamCriteria criteria = criteriaFor("subject");
      criteria.sharedTokens = row.sharedTokens;
      const UpstreamEntry* firstChoice = pickUpstream(table, criteria, at(0));
      UpstreamLoads peerLoads;
      for (const auto& [id, entry] : table.entries()) {
        // Half of the backlog is from this daemon, the other half is reported by peers.
        const bool isFirstChoice = &entry == firstChoice;
        const std::uint64_t backlog =
            (isFirstChoice ? row.backlogAtFirstChoice : row.backlogElsewhere) / 2;
        table.noteDispatched(id, backlog);
        peerLoads[id] = {1, backlog};
      }
      table.setPeerLoads(peerLoads, at(0));
      const bool stays = pickUpstream(table, criteria, at(0)) == firstChoice;
      CPPUNIT_ASSERT_EQUAL_MESSAGE("row " + std::to_string(i), row.staysAtFirstChoice, stays);
    }
  }

  void promptsCountAsBacklogUntilTheyAreProcessed() {
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

  void previousFirstChoiceIsTheCacheSource() {
    UpstreamTable table;
    std::vector<UpstreamRecord> records;
    records.reserve(7);
    for (int i = 0; i < 6; ++i) records.push_back(record("u" + std::to_string(i), "d1"));
    table.replace(records, at(0));
    const UpstreamCriteria criteria = criteriaFor("subject");
    const UpstreamEntry* firstChoice = pickUpstream(table, criteria, at(0));
    CPPUNIT_ASSERT(cacheSource(table, criteria, *firstChoice, at(0)) == nullptr);
    // While it drains, its successor copies from it, until it is unlisted.
    table.noteDraining(firstChoice->record.id);
    const UpstreamEntry* next = pickUpstream(table, criteria, at(0));
    CPPUNIT_ASSERT(next != firstChoice);
    CPPUNIT_ASSERT(cacheSource(table, criteria, *next, at(0)) == firstChoice);
    std::erase_if(records, [&](const UpstreamRecord& r) { return r.id == firstChoice->record.id; });
    table.replace(records, at(100));
    CPPUNIT_ASSERT(cacheSource(table, criteria, *next, at(100)) == nullptr);
    // A recently listed upstream copies from the previous first choice while its cache fills.
    UpstreamTable extended;
    extended.replace(records, at(0));
    records.push_back(firstChoice->record);
    records.back().state = UpstreamState::ready;
    extended.replace(records, at(100));
    const UpstreamEntry* fresh = pickUpstream(extended, criteria, at(200));
    CPPUNIT_ASSERT_EQUAL(firstChoice->record.id.str(), fresh->record.id.str());
    const UpstreamEntry* source = cacheSource(extended, criteria, *fresh, at(200));
    CPPUNIT_ASSERT(source != nullptr && source->record.id == next->record.id);
    CPPUNIT_ASSERT(cacheSource(extended, criteria, *fresh, at(20'000)) == nullptr);
    // A failing or unreachable upstream is not used as a source.
    failRequests(extended, next->record.id.str(), 2, at(200));
    const UpstreamEntry* other = cacheSource(extended, criteria, *fresh, at(210));
    CPPUNIT_ASSERT(other == nullptr || other->record.id != next->record.id);
  }

  void unlistedUpstreamIsALastResortForAShortTime() {
    UpstreamTable table;
    table.replace(std::vector{record("a", "d1")}, at(0));
    const auto unlisted = table.replace({}, at(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unlisted.size());
    CPPUNIT_ASSERT(pickUpstream(table, criteriaFor(""), at(1'000)) != nullptr);
    CPPUNIT_ASSERT(pickUpstream(table, criteriaFor(""), at(1'700)) == nullptr);
    // It is used again once it is listed again.
    table.replace(std::vector{record("a", "d1")}, at(2'000));
    CPPUNIT_ASSERT(pickUpstream(table, criteriaFor(""), at(2'000)) != nullptr);
    // An upstream whose address now belongs to another one is not used even as a last resort.
    table.noteAddressReused(UpstreamId("a"), at(2'000));
    CPPUNIT_ASSERT(pickUpstream(table, criteriaFor(""), at(2'000)) == nullptr);
  }

  void drainingIsNotRevokedByAnOlderListing() {
    UpstreamTable table;
    table.replace(std::vector{record("a", "d1")}, at(0));
    table.noteDraining(UpstreamId("a"));
    // A listing from before the upstream reported that it is draining.
    table.replace(std::vector{record("a", "d1")}, at(10));
    CPPUNIT_ASSERT(pickUpstream(table, criteriaFor(""), at(10)) == nullptr);
  }

  void consecutiveFailuresEjectAnUpstream() {
    UpstreamTable table;
    table.replace(std::vector{record("a", "d1"), record("b", "d2")}, at(0));
    failRequests(table, "a", 1, at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), pickedIdAt(table, 1));
    failRequests(table, "a", 1, at(10));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), pickedIdAt(table, 20));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), pickedIdAt(table, 500));
    failRequests(table, "a", 1, at(500));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), pickedIdAt(table, 1'200));
    table.noteDispatched(UpstreamId("a"));
    table.noteEnded(UpstreamId("a"), DispatchResult::answered, at(1'250));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), pickedIdAt(table, 1'260));
  }

  /// Two unreachable upstreams indicate that their whole failure domain is unreachable.
  void unreachableDomainIsEjected() {
    UpstreamTable table;
    table.replace(
        std::vector{record("a", "d1"), record("b", "d1"), record("c", "d1"), record("far", "d2")},
        at(0));
    const auto unreachable = [&](const char* id, int ms) {
      table.noteDispatched(UpstreamId(id));
      table.noteEnded(UpstreamId(id), DispatchResult::unreachable, at(ms));
    };
    unreachable("a", 0);
    CPPUNIT_ASSERT(pickedIdAt(table, 10) != "far");
    unreachable("b", 100);
    CPPUNIT_ASSERT_EQUAL(std::string("far"), pickedIdAt(table, 110));
    // The domain is probed after a while, and reinstated with the first response.
    const std::string tried = pickedIdAt(table, 705);
    CPPUNIT_ASSERT(tried != "far");
    unreachable(tried == "c" ? "c" : "b", 705);
    unreachable("a", 706);
    CPPUNIT_ASSERT_EQUAL(std::string("far"), pickedIdAt(table, 710));
    table.noteDispatched(UpstreamId("a"));
    table.noteEnded(UpstreamId("a"), DispatchResult::answered, at(800));
    CPPUNIT_ASSERT(pickedIdAt(table, 810) != "far");
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
    UpstreamRecord upstream = upstreamAt(id, "127.0.0.1:1");
    upstream.domain = FailureDomainName(domain);
    return upstream;
  }
  static UpstreamCriteria criteriaFor(const std::string& affinity) {
    UpstreamCriteria criteria;
    criteria.service = ServiceName("s");
    criteria.affinity = affinity;
    criteria.ownDomain = FailureDomainName("d1");
    criteria.requestId = "q";
    return criteria;
  }
  static void failRequests(UpstreamTable& table, const std::string& id, int times, Instant now) {
    for (int i = 0; i < times; ++i) {
      table.noteDispatched(UpstreamId(id));
      table.noteEnded(UpstreamId(id), DispatchResult::broken, now);
    }
  }
  static std::string pickedIdAt(const UpstreamTable& table, int ms) {
    const UpstreamEntry* picked = pickUpstream(table, criteriaFor(""), at(ms));
    return picked == nullptr ? "" : picked->record.id.str();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

}  // namespace
