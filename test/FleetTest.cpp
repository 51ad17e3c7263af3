// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Hallchute/Fleet"
#include "Hallchute/src/Node/FleetWire.h"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
const OrganisationName kOrg("org");

Instant at(int ms) {
  return kStart + Millis(ms);
}

FleetReport reportOf(const std::string& daemon, std::uint64_t incarnation) {
  FleetReport report;
  report.self = {DaemonId(daemon), daemon + ":1", incarnation, FailureDomainName("d"), 100};
  return report;
}

std::vector<std::string> targets(FleetView& view, int ms) {
  std::vector<std::string> addresses;
  for (const AddressedReport& sent : view.compose({}, at(ms))) addresses.push_back(sent.address);
  return addresses;
}

class FleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetTest);
  CPPUNIT_TEST(newlySpentIsTheIncreaseSinceTheLastReport);
  CPPUNIT_TEST(liveAndExpectedCountsOverTime);
  CPPUNIT_TEST(earlierSizeIsAssumedUntilPeersAreDiscovered);
  CPPUNIT_TEST(usageOfStoppedDaemonsReachesThoseThatStartLater);
  CPPUNIT_TEST(discoversAddressesFromReports);
  CPPUNIT_TEST(keepsTheUsageOfADaemonThatRestarted);
  CPPUNIT_TEST(ignoresReportsOfAnEarlierIncarnation);
  CPPUNIT_TEST(returnsDrainingUpstreamsOnce);
  CPPUNIT_TEST(relaysForwardReportsInALargeFleet);
  CPPUNIT_TEST(aDomainWithoutSeedsElectsItsRelay);
  CPPUNIT_TEST(reportsRoundTripThroughSerialization);
  CPPUNIT_TEST(storeAgeIsPropagatedByReports);
  CPPUNIT_TEST(settingsOlderThanAPeersMayBeStale);
  CPPUNIT_TEST(aDaemonWhoseClockWasSetBackIsAccepted);
  CPPUNIT_TEST(followModeByTable);
  CPPUNIT_TEST(snapshotIsRequestedFromANewerPeer);
  CPPUNIT_TEST(entriesThatLapsedInAnOutageAreRetainedTemporarily);
  CPPUNIT_TEST_SUITE_END();

 public:
  void newlySpentIsTheIncreaseSinceTheLastReport() {
    FleetView view({DaemonId("self"), "self:1", 1});
    FleetReport report = reportOf("a", 1);
    report.spent[kOrg] = 10;
    // Spending before a daemon's first report isn't deducted from the quota.
    CPPUNIT_ASSERT(view.receive(report, at(0)).newlySpent.empty());
    report.spent[kOrg] = 25;
    CPPUNIT_ASSERT_EQUAL(15.0, view.receive(report, at(1)).newlySpent.at(kOrg));
    CPPUNIT_ASSERT(view.receive(report, at(2)).newlySpent.empty());
    // While it was unreachable, its share of the rate was reserved for it.
    report.spent[kOrg] = 100;
    CPPUNIT_ASSERT(view.receive(report, at(5'000)).newlySpent.empty());
    report.spent[kOrg] = 101;
    CPPUNIT_ASSERT_EQUAL(1.0, view.receive(report, at(5'200)).newlySpent.at(kOrg));
    // A new incarnation counts from zero.
    report.self.incarnation = 2;
    report.spent[kOrg] = 5;
    const FleetUpdate update = view.receive(report, at(5'400));
    CPPUNIT_ASSERT(update.newIncarnation);
    CPPUNIT_ASSERT_EQUAL(5.0, update.newlySpent.at(kOrg));
  }

  void liveAndExpectedCountsOverTime() {
    FleetView view({DaemonId("self"), "self:1", 1});
    view.receive(reportOf("a", 1), at(0));
    view.receive(reportOf("b", 1), at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view.liveCount(at(500)));
    view.receive(reportOf("a", 1), at(2'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.liveCount(at(2'000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view.expectedCount(at(2'000)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, view.liveIncarnation(DaemonId("b"), at(2'000)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, view.liveIncarnation(DaemonId("a"), at(2'000)));
    FleetReport leaving = reportOf("a", 1);
    leaving.leaving = true;
    view.receive(leaving, at(2'100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.liveCount(at(2'200)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.expectedCount(at(20'000)));
  }

  void earlierSizeIsAssumedUntilPeersAreDiscovered() {
    FleetView view({DaemonId("self"), "self:1", 1}, at(0));
    CPPUNIT_ASSERT(!view.quotaFleet(at(0)).ownShare.has_value());
    CPPUNIT_ASSERT(view.quotaFleet(at(0)).liveFraction < 0.05);
    view.noteEarlierSize(4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, view.expectedCount(at(0)));
    CPPUNIT_ASSERT_EQUAL(0.25, view.quotaFleet(at(0)).ownShare.value());
    CPPUNIT_ASSERT_EQUAL(0.25, view.quotaFleet(at(0)).liveFraction);
    view.receive(reportOf("a", 1), at(100));
    CPPUNIT_ASSERT(view.quotaFleet(at(100)).discovering);
    CPPUNIT_ASSERT_EQUAL(0.25, view.quotaFleet(at(100)).liveFraction);
    view.receive(reportOf("a", 1), at(1'300));
    CPPUNIT_ASSERT(!view.quotaFleet(at(1'300)).discovering);
    CPPUNIT_ASSERT_EQUAL(0.5, view.quotaFleet(at(1'300)).liveFraction);
    // Daemons of the earlier size that never report expire like any others.
    view.receive(reportOf("a", 1), at(15'100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.expectedCount(at(15'200)));
    CPPUNIT_ASSERT_EQUAL(1.0, view.quotaFleet(at(15'200)).liveFraction);
  }

  /// A rolling restart: the daemon that finally totals the usage started after the others stopped.
  void usageOfStoppedDaemonsReachesThoseThatStartLater() {
    static constexpr std::int64_t kWindow = 7;
    const auto counted = [](const FleetView& view, int ms) {
      const UsageByWindow usage = view.usageElsewhere(at(ms));
      const auto window = usage.find(kWindow);
      return window == usage.end() ? std::uint64_t{0} : window->second.at(kOrg);
    };
    const auto reportWithUsage = [](const std::string& daemon, std::uint64_t incarnationNumber,
                                    std::uint64_t count) {
      FleetReport report = reportOf(daemon, incarnationNumber);
      report.usage[kWindow][kOrg] = count;
      return report;
    };
    FleetView stays({DaemonId("stays"), "stays:1", 1}, at(0));
    stays.receive(reportWithUsage("ended", 1, 100), at(0));
    stays.receive(reportWithUsage("again", 1, 30), at(0));
    stays.receive(reportWithUsage("again", 2, 5), at(500));
    FleetView later({DaemonId("later"), "later:1", 9}, at(3'000));
    later.receive(reportWithUsage("again", 2, 5), at(3'000));
    // Twice: a repeated report must not be counted again. The usage of earlier incarnations of a
    // restarted daemon is reported by the others.
    for (const int ms : {3'000, 6'000}) {
      stays.receive(reportOf("later", 9), at(ms));
      stays.receive(reportWithUsage("again", 2, 5), at(ms));
      for (const AddressedReport& report : stays.compose(reportOf("stays", 1), at(ms))) {
        if (report.address == "later:1") later.receive(report.report, at(ms));
      }
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{135}, counted(later, ms));
    }
    // A daemon assumed to have stopped reports again, later with a higher count.
    later.receive(reportWithUsage("ended", 1, 100), at(6'100));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{135}, counted(later, 6'100));
    later.receive(reportWithUsage("ended", 1, 110), at(6'300));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{145}, counted(later, 6'300));
  }

  void discoversAddressesFromReports() {
    FleetView view({DaemonId("self"), "self:1", 1});
    const std::vector<std::string> seeds{"self:1", "seed:1", ""};
    view.addAddresses(seeds);
    CPPUNIT_ASSERT(std::vector<std::string>{"seed:1"} == targets(view, 0));
    // A seed that isn't discovered yet is assumed to run and to spend its share of quotas.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.expectedCount(at(0)));
    FleetReport report = reportOf("a", 1);
    report.members = {{DaemonId("b"), "b:1", 1}, {DaemonId("self"), "self:1", 1}};
    view.receive(report, at(0));
    const std::vector<std::string> all{"a:1", "b:1", "seed:1"};
    CPPUNIT_ASSERT(all == targets(view, 0));
    // A member listed by a peer only adds an address; it isn't live until it reports.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.liveCount(at(0)));
    // Those that were not seen for long are contacted in turn, one at a time.
    std::set<std::vector<std::string>> later;
    for (int ms = 70'000; ms < 73'000; ms += 200) later.insert(targets(view, ms));
    const std::set<std::vector<std::string>> inTurn{{"a:1", "seed:1"}, {"b:1", "seed:1"}};
    CPPUNIT_ASSERT(inTurn == later);
  }

  void keepsTheUsageOfADaemonThatRestarted() {
    FleetView view({DaemonId("self"), "self:1", 1});
    FleetReport report = reportOf("a", 1);
    report.usage[7][kOrg] = 3;
    view.receive(report, at(0));
    report.self.incarnation = 2;
    report.usage[7][kOrg] = 2;
    view.receive(report, at(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, view.usageElsewhere(at(2)).at(7).at(kOrg));
    view.forgetUsageBefore(8);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, view.usageElsewhere(at(2)).at(7).at(kOrg));
  }

  void ignoresReportsOfAnEarlierIncarnation() {
    FleetView view({DaemonId("self"), "self:1", 1});
    view.receive(reportOf("a", 2), at(0));
    FleetReport old = reportOf("a", 1);
    old.spent[kOrg] = 10;
    CPPUNIT_ASSERT(view.receive(old, at(1)).newlySpent.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, view.liveIncarnation(DaemonId("a"), at(1)));
  }

  void returnsDrainingUpstreamsOnce() {
    FleetView view({DaemonId("self"), "self:1", 1});
    FleetReport report = reportOf("a", 1);
    report.draining = {UpstreamId("u")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.receive(report, at(0)).draining.size());
    CPPUNIT_ASSERT(view.receive(report, at(1)).draining.empty());
  }

  /// A domain without seed daemons that starts when the seeds have already discovered a large fleet
  /// still elects its own relay.
  void aDomainWithoutSeedsElectsItsRelay() {
    std::map<std::string, std::unique_ptr<FleetView>> views;
    for (int i = 0; i < 60; ++i) {
      const std::string name = "d" + std::to_string(i % 4) + "-" + std::to_string(100 + i);
      const FleetMember member{DaemonId(name), name + ":1", 1,
                               FailureDomainName("d" + std::to_string(i % 4)), i < 8 ? 500U : 120U};
      views[member.address] = std::make_unique<FleetView>(member);
    }
    const std::vector<std::string> seeds{"d0-100:1", "d1-101:1", "d2-102:1"};
    for (const auto& [address, view] : views) view->addAddresses(seeds);
    FleetReport own;
    own.loads[UpstreamId("u")] = {1, 0};
    int ms = 0;
    for (; ms <= 6'000; ms += 200) {
      std::vector<AddressedReport> sent;
      for (const auto& [address, view] : views) {
        const bool started = address.rfind("d3", 0) != 0 || ms >= 2'000;
        if (!started) continue;
        for (AddressedReport& report : view->compose(own, at(ms))) sent.push_back(report);
      }
      for (const AddressedReport& report : sent) {
        views.at(report.address)->receive(report.report, at(ms));
      }
    }
    std::size_t relays = 0;
    for (const auto& [address, view] : views) {
      relays += view->isRelay(at(ms)) ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(address, std::size_t{60}, view->liveCount(at(ms)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(address, 59U,
                                   view->loadsElsewhere(at(ms)).at(UpstreamId("u")).requests);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, relays);
  }

  /// Sixty daemons in three domains; the reports of a period are delivered immediately. The first
  /// daemon of each domain has the most capacity; one of these stops reporting.
  void relaysForwardReportsInALargeFleet() {
    struct Host {
      FleetMember member;
      FleetView view;
      FleetReport own;
      double reportedElsewhere = 0;
      bool down = false;
    };
    std::vector<std::unique_ptr<Host>> hosts;
    std::map<std::string, Host*> byAddress;
    for (int i = 0; i < 60; ++i) {
      const std::string name = "d" + std::to_string(i % 3) + "-" + std::to_string(100 + i);
      const FleetMember member{DaemonId(name), name + ":1", 1,
                               FailureDomainName("d" + std::to_string(i % 3)), i < 3 ? 500U : 120U};
      hosts.push_back(std::make_unique<Host>(Host{member, FleetView(member), {}, 0, false}));
      hosts.back()->own.spent[kOrg] = 0;
      hosts.back()->own.loads[UpstreamId("u")] = {1, 0};
      hosts.back()->own.waiting[ServiceName("s")] = {1, 10};
      hosts.back()->own.usage[7][kOrg] = 1;
      byAddress[member.address] = hosts.back().get();
    }
    const std::vector<std::string> seeds{hosts[10]->member.address, hosts[11]->member.address};
    for (const auto& host : hosts) host->view.addAddresses(seeds);
    std::size_t messages = 0;
    const auto runPeriod = [&](int ms) {
      std::vector<std::pair<Host*, FleetReport>> sent;
      for (const auto& host : hosts) {
        if (host->down) continue;
        for (AddressedReport& report : host->view.compose(host->own, at(ms))) {
          Host* receiver = byAddress.at(report.address);
          if (!receiver->down) sent.emplace_back(receiver, std::move(report.report));
        }
      }
      messages = sent.size();
      for (auto& [receiver, report] : sent) {
        const FleetUpdate update = receiver->view.receive(report, at(ms));
        const auto more = update.newlySpent.find(kOrg);
        if (more != update.newlySpent.end()) receiver->reportedElsewhere += more->second;
      }
    };
    int ms = 0;
    for (; ms <= 4'000; ms += 200) runPeriod(ms);
    // One report each way between a daemon and its relay, and some between relays and the seeds.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(messages), messages <= std::size_t{180});
    const auto check = [&](std::size_t up, double spentElsewhere) {
      for (const auto& host : hosts) {
        if (host->down) continue;
        const std::string name = host->member.daemon.str();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, up, host->view.liveCount(at(ms)));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            name, static_cast<std::uint32_t>(up - 1),
            host->view.loadsElsewhere(at(ms)).at(UpstreamId("u")).requests);
        // What waits at the daemon that fell silent no longer counts either.
        const WaitingLoad others{static_cast<std::uint32_t>(up - 1), 10 * (up - 1)};
        CPPUNIT_ASSERT_MESSAGE(name,
                               others == host->view.waitingElsewhere(at(ms)).at(ServiceName("s")));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, spentElsewhere, host->reportedElsewhere);
      }
    };
    check(60, 0);
    // Two daemons of each domain watch the store for all others.
    std::size_t watchers = 0;
    for (const auto& host : hosts) watchers += host->view.watchesStore(at(ms)) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, watchers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{59}, hosts[40]->view.usageElsewhere(at(ms)).at(7).at(kOrg));
    // Each daemon spends ten: every other daemon is notified of each amount exactly once.
    for (const auto& host : hosts) host->own.spent[kOrg] += 10;
    for (int end = ms + 1'000; ms <= end; ms += 200) runPeriod(ms);
    check(60, 590);
    // A relay stops reporting: the daemon next in capacity in its domain replaces it.
    hosts[0]->down = true;
    for (int end = ms + 4'000; ms <= end; ms += 200) runPeriod(ms);
    CPPUNIT_ASSERT(hosts[3]->view.isRelay(at(ms)));
    CPPUNIT_ASSERT(hosts[3]->view.watchesStore(at(ms)) && hosts[6]->view.watchesStore(at(ms)));
    check(59, 590);
    for (const auto& host : hosts) host->own.spent[kOrg] += 10;
    for (int end = ms + 1'000; ms <= end; ms += 200) runPeriod(ms);
    check(59, 590 + 580);
  }

  void reportsRoundTripThroughSerialization() {
    FleetReport report = reportOf("a", 3);
    report.settingsVersion = 9;
    report.upstreamsVersion = 11;
    report.storeAge = Millis(250);
    report.spent[kOrg] = 1.5;
    report.loads[UpstreamId("u")] = {4, 0};
    report.usage[7][kOrg] = 3;
    report.draining = {UpstreamId("v")};
    report.duties = {DaemonId("h"), 5, 6};
    report.members = {{DaemonId("b"), "b:1", 1}};
    report.leaving = true;
    report.crashes = {
        {RequestFingerprint{0xffffffffffffffff},
         {{UpstreamIncarnation(UpstreamId("u"), 7), true}, {UpstreamId("w"), false}}}};
    report.limits = {{UpstreamIncarnation(UpstreamId("u"), 7), true, 0.25, Millis(12)}};
    const auto decoded = unpack<FleetReport>(pack(report));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->self == report.self && decoded->scope == report.scope);
    CPPUNIT_ASSERT(decoded->spent == report.spent && decoded->loads == report.loads);
    CPPUNIT_ASSERT(decoded->usage == report.usage && decoded->draining == report.draining);
    CPPUNIT_ASSERT(decoded->duties == report.duties && decoded->members == report.members);
    CPPUNIT_ASSERT(decoded->crashes == report.crashes && decoded->limits == report.limits);
    CPPUNIT_ASSERT(decoded->leaving && decoded->settingsVersion == 9);
    CPPUNIT_ASSERT(decoded->upstreamsVersion == 11 && decoded->storeAge == Millis(250));
    CPPUNIT_ASSERT(!unpack<FleetReport>("nonsense").has_value());
  }

  void storeAgeIsPropagatedByReports() {
    StoreFreshness freshness(at(0));
    const StoreState alone;
    // Without reports from peers, a started daemon doesn't know the store's state.
    CPPUNIT_ASSERT(freshness.age(alone, at(100)) >= kUnknownAge);
    FleetReport report = reportOf("a", 1);
    report.storeAge = Millis(300);
    freshness.noteReport(report, {}, at(1'000));
    CPPUNIT_ASSERT(Millis(500) == freshness.age(alone, at(1'200)));
    CPPUNIT_ASSERT(!freshness.mayBeStale(alone, at(1'200)));
    CPPUNIT_ASSERT(freshness.mayBeStale(alone, at(2'000)));
    // A report of an earlier contact changes nothing.
    report.storeAge = Millis(5'000);
    freshness.noteReport(report, {}, at(1'300));
    CPPUNIT_ASSERT(Millis(600) == freshness.age(alone, at(1'300)));
    CPPUNIT_ASSERT(Millis(0) == freshness.age({1, 1, true}, at(60'000)));
  }

  /// A starting daemon reads lists that may be seconds old. Requests with a key or route that it
  /// lacks get 503 until no peer can have newer settings, as callers treat 401 and 404 as final.
  void settingsOlderThanAPeersMayBeStale() {
    StoreFreshness freshness(at(0));
    const StoreState own{3, 10, false};
    CPPUNIT_ASSERT(freshness.mayBeStale(own, at(100)));
    FleetReport report = reportOf("a", 1);
    report.storeAge = Millis(0);
    report.settingsVersion = 4;
    freshness.noteReport(report, {}, at(200));
    CPPUNIT_ASSERT(freshness.mayBeStale(own, at(300)));
    CPPUNIT_ASSERT(!freshness.mayBeStale({4, 10, false}, at(300)));
    // Its own watch may lag slightly behind a peer's.
    CPPUNIT_ASSERT(freshness.mayBeStale({3, 10, true}, at(300)));
  }

  /// Incarnation numbers are start times by the wall clock. A daemon that restarts after its host's
  /// clock was set back has a lower number; once the earlier incarnation has timed out, its reports
  /// are accepted, and its spending, loads and usage are counted.
  void aDaemonWhoseClockWasSetBackIsAccepted() {
    FleetView view({DaemonId("self"), "self:1", 1});
    FleetReport before = reportOf("a", 9'000);
    before.usage[7][kOrg] = 3;
    view.receive(before, at(0));
    FleetReport after = reportOf("a", 2'000);
    after.usage[7][kOrg] = 2;
    after.spent[kOrg] = 5;
    // A report of the earlier process may still arrive late.
    view.receive(after, at(300));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9'000}, view.liveIncarnation(DaemonId("a"), at(400)));
    const FleetUpdate update = view.receive(after, at(1'500));
    CPPUNIT_ASSERT(update.newIncarnation);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2'000}, view.liveIncarnation(DaemonId("a"), at(1'600)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.liveCount(at(1'600)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, view.usageElsewhere(at(1'600)).at(7).at(kOrg));
    after.spent[kOrg] = 8;
    CPPUNIT_ASSERT_EQUAL(3.0, view.receive(after, at(1'700)).newlySpent.at(kOrg));
    // A peer's member list doesn't restore the earlier incarnation while the new one is live.
    FleetReport indirect = reportOf("b", 1);
    indirect.members = {{DaemonId("a"), "a:1", 9'000, FailureDomainName("d"), 100}};
    view.receive(indirect, at(1'750));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2'000}, view.liveIncarnation(DaemonId("a"), at(1'800)));
  }

  void followModeByTable() {
    struct Row {
      bool follows;
      StoreState own;
      int reportedAt;
      int now;
      FollowMode mode;
    };
    const std::vector<Row> rows{
        {true, {}, -1, 100, FollowMode::following},
        {true, {1, 1, false}, 100, 200, FollowMode::following},
        {false, {1, 1, false}, 100, 200, FollowMode::off},
        // A start without peers that have contact with the store.
        {false, {}, -1, 100, FollowMode::probing},
        {false, {1, 1, false}, -1, 2'000, FollowMode::off},
        {false, {1, 1, false}, -1, 3'000, FollowMode::probing},
        {false, {1, 1, true}, 100, 3'000, FollowMode::probing},
    };
    for (const Row& row : rows) {
      StoreFreshness freshness(at(0));
      FleetReport report = reportOf("a", 1);
      report.storeAge = Millis(0);
      if (row.reportedAt >= 0) freshness.noteReport(report, {}, at(row.reportedAt));
      CPPUNIT_ASSERT(row.mode == freshness.mode(row.follows, row.own, at(row.now)));
    }
  }

  void snapshotIsRequestedFromANewerPeer() {
    FleetReport behind = reportOf("a", 1);
    behind.settingsVersion = 3;
    behind.upstreamsVersion = 10;
    FleetReport ahead = reportOf("b", 1);
    ahead.settingsVersion = 3;
    ahead.upstreamsVersion = 12;
    const std::vector<const FleetReport*> peers{&behind, &ahead};
    StoreFreshness freshness(at(0));
    CPPUNIT_ASSERT(!freshness.snapshotPeer({3, 12, false}, peers, at(1'000)));
    CPPUNIT_ASSERT(std::string("b:1") == freshness.snapshotPeer({3, 10, false}, peers, at(1'200)));
    // Not repeated immediately.
    CPPUNIT_ASSERT(!freshness.snapshotPeer({3, 10, false}, peers, at(1'400)));
    CPPUNIT_ASSERT(freshness.snapshotPeer({3, 10, false}, peers, at(1'700)).has_value());
    // A daemon that watches the store receives the same update shortly, unless its watch hangs.
    StoreFreshness watcher(at(0));
    CPPUNIT_ASSERT(!watcher.snapshotPeer({3, 10, true}, peers, at(1'000)));
    CPPUNIT_ASSERT(!watcher.snapshotPeer({3, 11, true}, peers, at(1'500)));
    CPPUNIT_ASSERT(!watcher.snapshotPeer({3, 11, true}, peers, at(2'000)));
    CPPUNIT_ASSERT(watcher.snapshotPeer({3, 11, true}, peers, at(2'100)).has_value());
  }

  void entriesThatLapsedInAnOutageAreRetainedTemporarily() {
    UpstreamRecord ready;
    ready.id = UpstreamId("ready");
    UpstreamRecord leaving;
    leaving.id = UpstreamId("leaving");
    leaving.state = UpstreamState::draining;
    UpstreamRecord fresh;
    fresh.id = UpstreamId("fresh");
    const std::vector<UpstreamRecord> before{ready, leaving};
    LapsedUpstreams lapsed;
    CPPUNIT_ASSERT(lapsed.merge({fresh}, before, at(0)) == std::vector<UpstreamRecord>{fresh});
    lapsed.noteStoreRecovery(at(0));
    const std::vector<UpstreamRecord> kept{fresh, ready};
    CPPUNIT_ASSERT(lapsed.merge({fresh}, before, at(100)) == kept);
    CPPUNIT_ASSERT(lapsed.merge(kept, before, at(100)) == kept);
    const int expiryMs = static_cast<int>(LapsedUpstreams::kReregistrationTime.count());
    CPPUNIT_ASSERT(lapsed.merge({fresh}, before, at(expiryMs)) ==
                   std::vector<UpstreamRecord>{fresh});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

}  // namespace
