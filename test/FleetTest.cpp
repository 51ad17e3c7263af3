// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
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
  report.self = {DaemonId(daemon), daemon + ":1", incarnation, DomainName("d"), 100};
  return report;
}

std::vector<std::string> targets(FleetView& view, int ms) {
  std::vector<std::string> addresses;
  for (const AddressedReport& sent : view.compose({}, at(ms))) addresses.push_back(sent.address);
  return addresses;
}

class FleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetTest);
  CPPUNIT_TEST(tellsWhatWasSpentSinceTheLastReport);
  CPPUNIT_TEST(heardAndKnownByTime);
  CPPUNIT_TEST(earlierSizeCountsUntilTheOthersAreMet);
  CPPUNIT_TEST(usageOfEndedDaemonsReachesThoseThatStartLater);
  CPPUNIT_TEST(learnsAddressesFromOthers);
  CPPUNIT_TEST(keepsTheUsageOfADaemonThatRestarted);
  CPPUNIT_TEST(ignoresReportsOfAnEarlierLife);
  CPPUNIT_TEST(tellsLeavesOnce);
  CPPUNIT_TEST(relaysCarryALargeFleet);
  CPPUNIT_TEST(aDomainWithoutSeedsFindsItself);
  CPPUNIT_TEST(reportsSurviveTheWire);
  CPPUNIT_TEST(theAgeOfTheStoresWordPassesOn);
  CPPUNIT_TEST(settingsBehindAPeersMayBeOld);
  CPPUNIT_TEST(aDaemonWhoseClockWasSetBackIsHeard);
  CPPUNIT_TEST(whoWatchesTheStore);
  CPPUNIT_TEST(aPeerAheadIsAsked);
  CPPUNIT_TEST(entriesThatLapsedInAnOutageAreKeptAWhile);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tellsWhatWasSpentSinceTheLastReport() {
    FleetView view({DaemonId("self"), "self:1", 1});
    FleetReport report = reportOf("a", 1);
    report.spent[kOrg] = 10;
    // What was spent before it was first heard of is in nobody's debt.
    CPPUNIT_ASSERT(view.receive(report, at(0)).newlySpent.empty());
    report.spent[kOrg] = 25;
    CPPUNIT_ASSERT_EQUAL(15.0, view.receive(report, at(1)).newlySpent.at(kOrg));
    CPPUNIT_ASSERT(view.receive(report, at(2)).newlySpent.empty());
    // While it was out of reach its part of the rate was left to it.
    report.spent[kOrg] = 100;
    CPPUNIT_ASSERT(view.receive(report, at(5'000)).newlySpent.empty());
    report.spent[kOrg] = 101;
    CPPUNIT_ASSERT_EQUAL(1.0, view.receive(report, at(5'200)).newlySpent.at(kOrg));
    // A new life counts from nothing.
    report.self.incarnation = 2;
    report.spent[kOrg] = 5;
    const FleetUpdate news = view.receive(report, at(5'400));
    CPPUNIT_ASSERT(news.newIncarnation);
    CPPUNIT_ASSERT_EQUAL(5.0, news.newlySpent.at(kOrg));
  }

  void heardAndKnownByTime() {
    FleetView view({DaemonId("self"), "self:1", 1});
    view.receive(reportOf("a", 1), at(0));
    view.receive(reportOf("b", 1), at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view.heard(at(500)));
    view.receive(reportOf("a", 1), at(2'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.heard(at(2'000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view.known(at(2'000)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, view.liveIncarnation(DaemonId("b"), at(2'000)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, view.liveIncarnation(DaemonId("a"), at(2'000)));
    FleetReport leaving = reportOf("a", 1);
    leaving.leaving = true;
    view.receive(leaving, at(2'100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.heard(at(2'200)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.known(at(20'000)));
  }

  void earlierSizeCountsUntilTheOthersAreMet() {
    FleetView view({DaemonId("self"), "self:1", 1}, at(0));
    CPPUNIT_ASSERT(!view.quotaFleet(at(0)).ownShare.has_value());
    CPPUNIT_ASSERT(view.quotaFleet(at(0)).liveFraction < 0.05);
    view.noteEarlierSize(4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, view.known(at(0)));
    CPPUNIT_ASSERT_EQUAL(0.25, view.quotaFleet(at(0)).ownShare.value());
    CPPUNIT_ASSERT_EQUAL(0.25, view.quotaFleet(at(0)).liveFraction);
    view.receive(reportOf("a", 1), at(100));
    CPPUNIT_ASSERT(view.quotaFleet(at(100)).discovering);
    CPPUNIT_ASSERT_EQUAL(0.25, view.quotaFleet(at(100)).liveFraction);
    view.receive(reportOf("a", 1), at(1'300));
    CPPUNIT_ASSERT(!view.quotaFleet(at(1'300)).discovering);
    CPPUNIT_ASSERT_EQUAL(0.5, view.quotaFleet(at(1'300)).liveFraction);
    // Those that never came back are forgotten as others are.
    view.receive(reportOf("a", 1), at(15'100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.known(at(15'200)));
    CPPUNIT_ASSERT_EQUAL(1.0, view.quotaFleet(at(15'200)).liveFraction);
  }

  /// A rolling restart: the daemon that counts the usage in the end started after the others ended.
  void usageOfEndedDaemonsReachesThoseThatStartLater() {
    static constexpr std::int64_t kWindow = 7;
    const auto counted = [](const FleetView& view, int ms) {
      const UsageByWindow usage = view.usageElsewhere(at(ms));
      const auto window = usage.find(kWindow);
      return window == usage.end() ? std::uint64_t{0} : window->second.at(kOrg);
    };
    const auto told = [](const std::string& daemon, std::uint64_t life, std::uint64_t count) {
      FleetReport report = reportOf(daemon, life);
      report.usage[kWindow][kOrg] = count;
      return report;
    };
    FleetView stays({DaemonId("stays"), "stays:1", 1}, at(0));
    stays.receive(told("ended", 1, 100), at(0));
    stays.receive(told("again", 1, 30), at(0));
    stays.receive(told("again", 2, 5), at(500));
    FleetView later({DaemonId("later"), "later:1", 9}, at(3'000));
    later.receive(told("again", 2, 5), at(3'000));
    // Twice: the second word must not count again, and its own past is others' to tell.
    for (const int ms : {3'000, 6'000}) {
      stays.receive(reportOf("later", 9), at(ms));
      stays.receive(told("again", 2, 5), at(ms));
      for (const AddressedReport& report : stays.compose(reportOf("stays", 1), at(ms))) {
        if (report.address == "later:1") later.receive(report.report, at(ms));
      }
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{135}, counted(later, ms));
    }
    // One that was taken for ended speaks again, and later with more.
    later.receive(told("ended", 1, 100), at(6'100));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{135}, counted(later, 6'100));
    later.receive(told("ended", 1, 110), at(6'300));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{145}, counted(later, 6'300));
  }

  void learnsAddressesFromOthers() {
    FleetView view({DaemonId("self"), "self:1", 1});
    const std::vector<std::string> seeds{"self:1", "seed:1", ""};
    view.addAddresses(seeds);
    CPPUNIT_ASSERT(std::vector<std::string>{"seed:1"} == targets(view, 0));
    // A seed that was not met yet is likely to run, and to spend its part of quotas.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.known(at(0)));
    FleetReport report = reportOf("a", 1);
    report.members = {{DaemonId("b"), "b:1", 1}, {DaemonId("self"), "self:1", 1}};
    view.receive(report, at(0));
    const std::vector<std::string> all{"a:1", "b:1", "seed:1"};
    CPPUNIT_ASSERT(all == targets(view, 0));
    // Hearsay is an address, not a daemon that was heard.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.heard(at(0)));
    CPPUNIT_ASSERT(std::vector<std::string>{"seed:1"} == targets(view, 70'000));
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

  void ignoresReportsOfAnEarlierLife() {
    FleetView view({DaemonId("self"), "self:1", 1});
    view.receive(reportOf("a", 2), at(0));
    FleetReport old = reportOf("a", 1);
    old.spent[kOrg] = 10;
    CPPUNIT_ASSERT(view.receive(old, at(1)).newlySpent.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, view.liveIncarnation(DaemonId("a"), at(1)));
  }

  void tellsLeavesOnce() {
    FleetView view({DaemonId("self"), "self:1", 1});
    FleetReport report = reportOf("a", 1);
    report.draining = {UpstreamId("u")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.receive(report, at(0)).draining.size());
    CPPUNIT_ASSERT(view.receive(report, at(1)).draining.empty());
  }

  /// A domain in which no daemon is a seed, and which starts when the seeds already know a large
  /// fleet, finds its own relay all the same.
  void aDomainWithoutSeedsFindsItself() {
    std::map<std::string, std::unique_ptr<FleetView>> views;
    for (int i = 0; i < 60; ++i) {
      const std::string name = "d" + std::to_string(i % 4) + "-" + std::to_string(100 + i);
      const FleetMember member{DaemonId(name), name + ":1", 1,
                               DomainName("d" + std::to_string(i % 4)), i < 8 ? 500U : 120U};
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
      CPPUNIT_ASSERT_EQUAL_MESSAGE(address, std::size_t{60}, view->heard(at(ms)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(address, 59U,
                                   view->loadsElsewhere(at(ms)).at(UpstreamId("u")).requests);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, relays);
  }

  /// Sixty daemons in three domains, each period's reports delivered at once. Daemon 0 of each
  /// domain is the strongest; one of them falls silent.
  void relaysCarryALargeFleet() {
    struct Host {
      FleetMember member;
      FleetView view;
      FleetReport own;
      double toldElsewhere = 0;
      bool down = false;
    };
    std::vector<std::unique_ptr<Host>> hosts;
    std::map<std::string, Host*> byAddress;
    for (int i = 0; i < 60; ++i) {
      const std::string name = "d" + std::to_string(i % 3) + "-" + std::to_string(100 + i);
      const FleetMember member{DaemonId(name), name + ":1", 1,
                               DomainName("d" + std::to_string(i % 3)), i < 3 ? 500U : 120U};
      hosts.push_back(std::make_unique<Host>(Host{member, FleetView(member), {}, 0, false}));
      hosts.back()->own.spent[kOrg] = 0;
      hosts.back()->own.loads[UpstreamId("u")] = {1, 0};
      hosts.back()->own.usage[7][kOrg] = 1;
      byAddress[member.address] = hosts.back().get();
    }
    const std::vector<std::string> seeds{hosts[10]->member.address, hosts[11]->member.address};
    for (const auto& host : hosts) host->view.addAddresses(seeds);
    std::size_t messages = 0;
    const auto period = [&](int ms) {
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
        const FleetUpdate news = receiver->view.receive(report, at(ms));
        const auto more = news.newlySpent.find(kOrg);
        if (more != news.newlySpent.end()) receiver->toldElsewhere += more->second;
      }
    };
    int ms = 0;
    for (; ms <= 4'000; ms += 200) period(ms);
    // One report each way between a daemon and its relay, some between relays and the seeds.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(messages), messages <= std::size_t{180});
    const auto check = [&](std::size_t up, double spentElsewhere) {
      for (const auto& host : hosts) {
        if (host->down) continue;
        const std::string name = host->member.daemon.str();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, up, host->view.heard(at(ms)));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            name, static_cast<std::uint32_t>(up - 1),
            host->view.loadsElsewhere(at(ms)).at(UpstreamId("u")).requests);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, spentElsewhere, host->toldElsewhere);
      }
    };
    check(60, 0);
    // Two of each domain watch the store for all.
    std::size_t followers = 0;
    for (const auto& host : hosts) followers += host->view.watchesStore(at(ms)) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, followers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{59}, hosts[40]->view.usageElsewhere(at(ms)).at(7).at(kOrg));
    // Each spends ten: every other daemon hears of all of it once.
    for (const auto& host : hosts) host->own.spent[kOrg] += 10;
    for (int end = ms + 1'000; ms <= end; ms += 200) period(ms);
    check(60, 590);
    // A relay falls silent: the next strongest of its domain takes its place.
    hosts[0]->down = true;
    for (int end = ms + 4'000; ms <= end; ms += 200) period(ms);
    CPPUNIT_ASSERT(hosts[3]->view.isRelay(at(ms)));
    CPPUNIT_ASSERT(hosts[3]->view.watchesStore(at(ms)) && hosts[6]->view.watchesStore(at(ms)));
    check(59, 590);
    for (const auto& host : hosts) host->own.spent[kOrg] += 10;
    for (int end = ms + 1'000; ms <= end; ms += 200) period(ms);
    check(59, 590 + 580);
  }

  void reportsSurviveTheWire() {
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
    const auto back = unpack<FleetReport>(pack(report));
    CPPUNIT_ASSERT(back.has_value());
    CPPUNIT_ASSERT(back->self == report.self && back->scope == report.scope);
    CPPUNIT_ASSERT(back->spent == report.spent && back->loads == report.loads);
    CPPUNIT_ASSERT(back->usage == report.usage && back->draining == report.draining);
    CPPUNIT_ASSERT(back->duties == report.duties && back->members == report.members);
    CPPUNIT_ASSERT(back->leaving && back->settingsVersion == 9);
    CPPUNIT_ASSERT(back->upstreamsVersion == 11 && back->storeAge == Millis(250));
    CPPUNIT_ASSERT(!unpack<FleetReport>("nonsense").has_value());
  }

  void theAgeOfTheStoresWordPassesOn() {
    StoreFreshness news(at(0));
    const StoreState alone;
    // Nobody was heard yet: a start tells nothing of the store.
    CPPUNIT_ASSERT(news.age(alone, at(100)) >= kUnknownAge);
    FleetReport report = reportOf("a", 1);
    report.storeAge = Millis(300);
    news.noteReport(report, {}, at(1'000));
    CPPUNIT_ASSERT(Millis(500) == news.age(alone, at(1'200)));
    CPPUNIT_ASSERT(!news.mayBeStale(alone, at(1'200)));
    CPPUNIT_ASSERT(news.mayBeStale(alone, at(2'000)));
    // An older word changes nothing.
    report.storeAge = Millis(5'000);
    news.noteReport(report, {}, at(1'300));
    CPPUNIT_ASSERT(Millis(600) == news.age(alone, at(1'300)));
    CPPUNIT_ASSERT(Millis(0) == news.age({1, 1, true}, at(60'000)));
  }

  /// A daemon that starts reads lists that may be seconds old. A key or route that it lacks gets
  /// 503 until it knows that nobody has newer settings: 401 and 404 are final for callers.
  void settingsBehindAPeersMayBeOld() {
    StoreFreshness news(at(0));
    const StoreState own{3, 10, false};
    CPPUNIT_ASSERT(news.mayBeStale(own, at(100)));
    FleetReport report = reportOf("a", 1);
    report.storeAge = Millis(0);
    report.settingsVersion = 4;
    news.noteReport(report, {}, at(200));
    CPPUNIT_ASSERT(news.mayBeStale(own, at(300)));
    CPPUNIT_ASSERT(!news.mayBeStale({4, 10, false}, at(300)));
    // Its own watch may be a moment behind a peer's.
    CPPUNIT_ASSERT(news.mayBeStale({3, 10, true}, at(300)));
  }

  /// Incarnations are starts by the wall clock. A daemon that starts again after its host's clock
  /// was set back has a lower one; once the one before is silent it is heard all the same, and what
  /// it spends, holds and served counts.
  void aDaemonWhoseClockWasSetBackIsHeard() {
    FleetView view({DaemonId("self"), "self:1", 1});
    FleetReport before = reportOf("a", 9'000);
    before.usage[7][kOrg] = 3;
    view.receive(before, at(0));
    FleetReport after = reportOf("a", 2'000);
    after.usage[7][kOrg] = 2;
    after.spent[kOrg] = 5;
    // A word of the process before may come late.
    view.receive(after, at(300));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9'000}, view.liveIncarnation(DaemonId("a"), at(400)));
    const FleetUpdate news = view.receive(after, at(1'500));
    CPPUNIT_ASSERT(news.newIncarnation);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2'000}, view.liveIncarnation(DaemonId("a"), at(1'600)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.heard(at(1'600)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, view.usageElsewhere(at(1'600)).at(7).at(kOrg));
    after.spent[kOrg] = 8;
    CPPUNIT_ASSERT_EQUAL(3.0, view.receive(after, at(1'700)).newlySpent.at(kOrg));
    // Hearsay of the one before doesn't bring it back while the new one is heard.
    FleetReport hearsay = reportOf("b", 1);
    hearsay.members = {{DaemonId("a"), "a:1", 9'000, DomainName("d"), 100}};
    view.receive(hearsay, at(1'750));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2'000}, view.liveIncarnation(DaemonId("a"), at(1'800)));
  }

  void whoWatchesTheStore() {
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
        // A start without peers that know anything.
        {false, {}, -1, 100, FollowMode::probing},
        {false, {1, 1, false}, -1, 2'000, FollowMode::off},
        {false, {1, 1, false}, -1, 3'000, FollowMode::probing},
        {false, {1, 1, true}, 100, 3'000, FollowMode::probing},
    };
    for (const Row& row : rows) {
      StoreFreshness news(at(0));
      FleetReport report = reportOf("a", 1);
      report.storeAge = Millis(0);
      if (row.reportedAt >= 0) news.noteReport(report, {}, at(row.reportedAt));
      CPPUNIT_ASSERT(row.mode == news.mode(row.follows, row.own, at(row.now)));
    }
  }

  void aPeerAheadIsAsked() {
    FleetReport behind = reportOf("a", 1);
    behind.settingsVersion = 3;
    behind.upstreamsVersion = 10;
    FleetReport ahead = reportOf("b", 1);
    ahead.settingsVersion = 3;
    ahead.upstreamsVersion = 12;
    const std::vector<const FleetReport*> peers{&behind, &ahead};
    StoreFreshness news(at(0));
    CPPUNIT_ASSERT(!news.snapshotPeer({3, 12, false}, peers, at(1'000)));
    CPPUNIT_ASSERT(std::string("b:1") == news.snapshotPeer({3, 10, false}, peers, at(1'200)));
    // Not again at once.
    CPPUNIT_ASSERT(!news.snapshotPeer({3, 10, false}, peers, at(1'400)));
    CPPUNIT_ASSERT(news.snapshotPeer({3, 10, false}, peers, at(1'700)).has_value());
    // One that watches itself hears the same in a moment, unless its watch hangs.
    StoreFreshness watcher(at(0));
    CPPUNIT_ASSERT(!watcher.snapshotPeer({3, 10, true}, peers, at(1'000)));
    CPPUNIT_ASSERT(!watcher.snapshotPeer({3, 11, true}, peers, at(1'500)));
    CPPUNIT_ASSERT(!watcher.snapshotPeer({3, 11, true}, peers, at(2'000)));
    CPPUNIT_ASSERT(watcher.snapshotPeer({3, 11, true}, peers, at(2'100)).has_value());
  }

  void entriesThatLapsedInAnOutageAreKeptAWhile() {
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
    const int over = static_cast<int>(LapsedUpstreams::kReregistrationTime.count());
    CPPUNIT_ASSERT(lapsed.merge({fresh}, before, at(over)) == std::vector<UpstreamRecord>{fresh});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

}  // namespace
