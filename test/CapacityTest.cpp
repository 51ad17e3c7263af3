// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Hallchute/Capacity"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
const ServiceName kService("s");

Instant at(int ms) {
  return kStart + Millis(ms);
}

/// A platform that carries out orders at once, and the planner that gives them.
class Market {
 public:
  explicit Market(std::uint32_t onDemandEach) {
    service_.name = kService;
    ReplicaLimits limits;
    limits.least = 1;
    limits.most = 6;
    limits.reclaimablePrice = 0.2;
    limits.domainPrices = {{DomainName("a"), 0.8}, {DomainName("b"), 1.2}, {DomainName("c"), 1.0}};
    service_.replicas = limits;
    for (const char* domain : {"a", "b", "c"}) {
      count_[{kService, DomainName(domain), false}] = onDemandEach;
      count_[{kService, DomainName(domain), true}] = 0;
    }
  }

  /// One turn of the planner. \returns how many orders it gave.
  std::size_t turn(std::uint32_t load, int ms) {
    for (auto it = booting_.begin(); it != booting_.end();) {
      const auto& [group, boot] = *it;
      if (at(ms) >= boot.ready) count_[group] = boot.count;
      it = at(ms) >= boot.ready ? booting_.erase(it) : std::next(it);
    }
    std::vector<UpstreamRecord> upstreams;
    for (const auto& [group, count] : count_) {
      for (std::uint32_t i = 0; i < count; ++i) {
        UpstreamRecord record;
        record.service = group.service;
        record.domain = group.domain;
        record.reclaimable = group.reclaimable;
        upstreams.push_back(record);
      }
    }
    const std::vector<GatewayService> services{service_};
    const CapacityView view{services, upstreams, {{kService, load}}, quotaTokens_};
    const std::vector<ReplicaOrder> orders = planner_.plan(view, at(ms));
    for (const ReplicaOrder& order : orders) {
      if (dry_.contains(order.group.domain.str()) && order.group.reclaimable) {
        planner_.noteRefused(order.group, at(ms));
        continue;
      }
      CPPUNIT_ASSERT(order.count <= 6);
      planner_.noteOrdered(order);
      const bool more = order.count > count_[order.group];
      if (more && boots(order.group)) {
        booting_[order.group] = {order.count, at(ms) + boot_};
      } else {
        booting_.erase(order.group);
        count_[order.group] = order.count;
      }
    }
    return orders.size();
  }
  void settle(std::uint32_t load, int from, int to) {
    for (int ms = from; ms < to; ms += 250) turn(load, ms);
  }
  std::uint32_t of(const std::string& domain, bool reclaimable) const {
    return count_.at({kService, DomainName(domain), reclaimable});
  }
  std::uint32_t all(bool reclaimable) const {
    return of("a", reclaimable) + of("b", reclaimable) + of("c", reclaimable);
  }
  void reclaim(const std::string& domain) {
    count_[{kService, DomainName(domain), true}] = 0;
    dry_.insert(domain);
  }
  void supply(const std::string& domain) { dry_.erase(domain); }
  /// How long replicas boot from now on, at least. \param onDemandAtOnce only reclaimable ones.
  void setBoot(Millis boot, bool onDemandAtOnce = false) {
    boot_ = boot_ > boot ? boot_ : boot;
    service_.replicas->boot = Millis(4'000);
    onDemandAtOnce_ = onDemandAtOnce;
  }
  void replaceHolder() {
    planner_ = ReplicaPlanner(CapacityPolicy{});
    planner_.resetOrders(true);
  }
  void appear(std::uint32_t onDemandEach) {
    for (auto& [group, count] : count_) {
      if (!group.reclaimable) count = onDemandEach;
    }
  }
  void setQuotaTokens(double tokens) { quotaTokens_ = tokens; }

 private:
  struct Booting {
    std::uint32_t count = 0;
    Instant ready{};
  };

  bool boots(const ReplicaGroup& group) const {
    return boot_ > Millis(0) && (group.reclaimable || !onDemandAtOnce_);
  }

  GatewayService service_;
  std::map<ReplicaGroup, std::uint32_t> count_;
  std::map<ReplicaGroup, Booting> booting_;
  Millis boot_{0};
  bool onDemandAtOnce_ = false;
  std::set<std::string> dry_;
  ReplicaPlanner planner_{CapacityPolicy{}};
  double quotaTokens_ = 0;
};

class CapacityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CapacityTest);
  CPPUNIT_TEST(reclaimableOnesTakeOver);
  CPPUNIT_TEST(theLossOfADomainLeavesEnough);
  CPPUNIT_TEST(ordersAreFewWhenNothingChanges);
  CPPUNIT_TEST(capacityFollowsTheLoadAndStaysAWhile);
  CPPUNIT_TEST(beforeTheFirstLoadTheQuotasTell);
  CPPUNIT_TEST(aDirectoryThatFillsSlowlyIsNoSmallFleet);
  CPPUNIT_TEST(whatWasOrderedIsNoSmallestSize);
  CPPUNIT_TEST(aNewHolderKeepsWhatItFinds);
  CPPUNIT_TEST(onDemandOnesDoNotStandInForOnesThatBoot);
  CPPUNIT_TEST(onDemandOnesStandInForOnesThatNeverCame);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reclaimableOnesTakeOver() {
    Market market(3);
    market.turn(20, 0);
    // Nothing on demand goes before others are there.
    CPPUNIT_ASSERT(market.all(false) >= 3);
    market.settle(20, 250, 2'000);
    CPPUNIT_ASSERT_EQUAL(1U, market.all(false));
    CPPUNIT_ASSERT_EQUAL(1U, market.of("a", false));
    CPPUNIT_ASSERT_EQUAL(6U, market.all(true));
  }

  void theLossOfADomainLeavesEnough() {
    Market market(3);
    market.settle(20, 0, 2'000);
    market.reclaim("b");
    CPPUNIT_ASSERT(market.all(true) + market.all(false) >= 3);
    market.settle(20, 2'000, 4'000);
    CPPUNIT_ASSERT_EQUAL(0U, market.of("b", true));
    // The domain's least number holds with one on demand.
    CPPUNIT_ASSERT_EQUAL(1U, market.of("b", false));
    CPPUNIT_ASSERT_EQUAL(4U, market.all(true));
    // What was taken away is ordered again after a while.
    market.supply("b");
    market.settle(20, 4'000, 20'000);
    CPPUNIT_ASSERT_EQUAL(6U, market.all(true));
    CPPUNIT_ASSERT_EQUAL(1U, market.all(false));
  }

  void ordersAreFewWhenNothingChanges() {
    Market market(3);
    market.settle(20, 0, 4'000);
    std::size_t orders = 0;
    for (int ms = 4'000; ms < 40'000; ms += 250) orders += market.turn(20, ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, orders);
  }

  void capacityFollowsTheLoadAndStaysAWhile() {
    Market market(3);
    market.settle(20, 0, 2'000);
    market.settle(80, 2'000, 3'000);
    CPPUNIT_ASSERT(market.all(true) >= 9);
    market.settle(20, 3'000, 9'000);
    CPPUNIT_ASSERT(market.all(true) >= 9);
    market.settle(20, 9'000, 20'000);
    CPPUNIT_ASSERT_EQUAL(6U, market.all(true));
  }

  void beforeTheFirstLoadTheQuotasTell() {
    Market market(3);
    market.settle(0, 0, 2'000);
    CPPUNIT_ASSERT(market.all(true) + market.all(false) >= 9);
    Market known(3);
    known.setQuotaTokens(CapacityPolicy{}.quotaTokensPerReplica * 4);
    known.settle(0, 0, 2'000);
    CPPUNIT_ASSERT_EQUAL(6U, known.all(true));
    CPPUNIT_ASSERT_EQUAL(1U, known.all(false));
  }

  /// Replicas write themselves into the directory one after the other.
  void aDirectoryThatFillsSlowlyIsNoSmallFleet() {
    Market market(1);
    market.turn(0, 0);
    market.appear(5);
    market.settle(0, 250, 2'000);
    CPPUNIT_ASSERT(market.all(true) + market.all(false) >= 15);
  }

  /// Before the load, reclaimable ones that were ordered must not raise the need in turn.
  void whatWasOrderedIsNoSmallestSize() {
    Market market(2);
    market.settle(0, 0, 8'000);
    CPPUNIT_ASSERT_EQUAL(9U, market.all(true));
  }

  /// The holder ended with its daemon: the next one has heard of next to no load yet.
  void aNewHolderKeepsWhatItFinds() {
    Market market(3);
    market.settle(80, 0, 20'000);
    const std::uint32_t before = market.all(true);
    market.replaceHolder();
    market.settle(2, 20'000, 24'000);
    CPPUNIT_ASSERT_EQUAL(before, market.all(true));
    market.settle(20, 24'000, 60'000);
    CPPUNIT_ASSERT_EQUAL(6U, market.all(true));
  }

  void onDemandOnesDoNotStandInForOnesThatBoot() {
    Market market(1);
    market.settle(20, 0, 2'000);
    market.setBoot(Millis(4'000), true);
    market.settle(80, 2'000, 6'000);
    CPPUNIT_ASSERT_EQUAL(1U, market.all(false));
    market.settle(80, 6'000, 7'000);
    CPPUNIT_ASSERT(market.all(true) >= 9);
    CPPUNIT_ASSERT_EQUAL(1U, market.all(false));
  }

  void onDemandOnesStandInForOnesThatNeverCame() {
    Market market(1);
    market.settle(20, 0, 2'000);
    market.setBoot(Millis(60'000));
    market.settle(50, 2'000, 3'000);
    CPPUNIT_ASSERT_EQUAL(1U, market.all(false));
    market.setBoot(Millis(0), true);
    market.settle(50, 3'000, 10'000);
    CPPUNIT_ASSERT(market.all(true) + market.all(false) >= 6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityTest);

}  // namespace
