// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

// A relay that stands still for a second is missed by its domain, and each of its daemons takes the
// strongest it still hears for the relay. When it goes on, the two relays of the domain may not
// know of each other: other domains answer only the one they take for right, nobody tells the
// other, and each carries a part of the domain for the rest of its life. All hear of everybody, so
// no count of daemons shows it: here 49 of 59 loads are heard from then on. On a site of 295 hosts
// it showed as seven to nine windows of usage off by the part of one domain (13 to 24 in 100
// requests) and a seventh fewer replicas ordered, on some plays of a day and not on others.

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Hallchute/Fleet"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
constexpr int kStep = 10;
constexpr int kPeriod = 200;
constexpr int kStallEvery = 1'000;
/// Daemons of a domain with strong hosts.
constexpr int kStrong = 3;
constexpr int kSeeds = 3;

Instant at(int ms) {
  return kStart + Millis(ms);
}

/// How a fleet's daemons start and stand still.
struct FleetPlan {
  int daemons = 60;
  int domains = 5;
  /// A daemon's first report is this late at most, in ms.
  int startSpread = 300;
  /// How long a weak host takes to start beyond that at most.
  int weakStart = 1'000;
  /// The most that a report is under way; a busy host reads it late.
  int slowest = 400;
  /// The longest that a strong daemon stands still now and then, with its reports unread.
  int longestStall = 0;
  /// From when on nothing stands still any more.
  int calmFrom = 0;
};

class UnevenFleet {
 public:
  UnevenFleet(const FleetPlan& plan, unsigned seed) : plan_(plan), random_(seed) {
    std::vector<std::string> addresses;
    for (int i = 0; i < plan.daemons; ++i) {
      const bool strong = i < kStrong * plan.domains;
      const std::string domain = "d" + std::to_string(i % plan.domains);
      const std::string name = domain + "-" + std::to_string(i / plan.domains + 1);
      const int starts = upTo(plan.startSpread) + (strong ? 0 : upTo(plan.weakStart));
      const FleetMember member{DaemonId(name), name + ":1", 1'000'000U + starts, DomainName(domain),
                               strong ? 500U : 120U};
      hosts_.push_back({member, nullptr, starts, upTo(kPeriod - 1) / kStep * kStep, 0, {}});
      byAddress_[member.address] = i;
      addresses.push_back(member.address);
    }
    for (int i = 0; i < kSeeds; ++i) seeds_.push_back(addresses[upTo(plan.daemons - 1)]);
  }

  void run(int toMs) {
    for (; now_ < toMs; now_ += kStep) {
      if (now_ < plan_.calmFrom && now_ % kStallEvery == 0) {
        hosts_[upTo(kStrong * plan_.domains - 1)].stalledUntil = now_ + upTo(plan_.longestStall);
      }
      for (Host& host : hosts_) turn(host);
      deliver();
    }
  }
  /// Daemons that miss loads of others, with what they hear.
  std::string misses() const {
    std::string told;
    for (const Host& host : hosts_) {
      const UpstreamLoads loads = host.view->loadsElsewhere(at(now_));
      const auto load = loads.find(UpstreamId("u"));
      const std::uint32_t heard = load == loads.end() ? 0 : load->second.requests;
      if (heard + 1 == hosts_.size()) continue;
      told += host.member.daemon.str() + " " + std::to_string(heard) + ", ";
    }
    return told;
  }
  /// All relays, if there are more or fewer than one a domain.
  std::string wrongRelays() const {
    std::string told;
    std::size_t count = 0;
    for (const Host& host : hosts_) {
      if (!host.view->isRelay(at(now_))) continue;
      ++count;
      told += host.member.daemon.str() + " ";
    }
    return count == static_cast<std::size_t>(plan_.domains) ? "" : told;
  }

 private:
  struct Host {
    FleetMember member;
    std::unique_ptr<FleetView> view;
    int starts = 0;
    int offset = 0;
    int stalledUntil = 0;
    std::vector<FleetReport> unread;
  };

  int upTo(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
  void turn(Host& host) {
    if (host.view == nullptr && now_ >= host.starts) {
      host.view = std::make_unique<FleetView>(host.member, at(now_));
      host.view->addAddresses(seeds_);
    }
    if (host.view == nullptr) return;
    if (now_ < host.stalledUntil) return;
    for (const FleetReport& report : host.unread) host.view->receive(report, at(now_));
    host.unread.clear();
    if (now_ % kPeriod != host.offset) return;
    FleetReport own;
    own.loads[UpstreamId("u")] = {1, 0};
    for (AddressedReport& report : host.view->compose(own, at(now_))) {
      sent_.emplace(now_ + upTo(plan_.slowest), std::move(report));
    }
  }
  void deliver() {
    while (!sent_.empty() && sent_.begin()->first <= now_) {
      const AddressedReport report = std::move(sent_.begin()->second);
      sent_.erase(sent_.begin());
      Host& host = hosts_[byAddress_.at(report.address)];
      if (host.view == nullptr) continue;
      if (now_ < host.stalledUntil) {
        host.unread.push_back(report.report);
      } else {
        host.view->receive(report.report, at(now_));
      }
    }
  }

  FleetPlan plan_;
  std::mt19937 random_;
  std::vector<Host> hosts_;
  std::map<std::string, int> byAddress_;
  std::vector<std::string> seeds_;
  std::multimap<int, AddressedReport> sent_;
  int now_ = 0;
};

class FleetSplitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetSplitTest);
  CPPUNIT_TEST(aFleetThatStartsHasOneRelayADomain);
  CPPUNIT_TEST(daemonsThatStandStillAreFoundAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void daemonsThatStandStillAreFoundAgain() {
    std::string misses;
    FleetPlan plan;
    plan.longestStall = 4'000;
    plan.calmFrom = 20'000;
    plan.slowest = 60;
    for (unsigned seed = 1; seed <= 30; ++seed) {
      UnevenFleet fleet(plan, seed);
      fleet.run(30'000);
      const std::string found = fleet.wrongRelays() + fleet.misses();
      if (!found.empty()) misses += "seed " + std::to_string(seed) + ": " + found + "; ";
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), misses);
  }

  void aFleetThatStartsHasOneRelayADomain() {
    std::string misses;
    for (unsigned seed = 1; seed <= 100; ++seed) {
      UnevenFleet fleet({}, seed);
      fleet.run(8'000);
      const std::string relays = fleet.wrongRelays();
      if (!relays.empty()) misses += "seed " + std::to_string(seed) + ": " + relays + "; ";
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), misses);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetSplitTest);

}  // namespace
