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

/// A platform that carries out orders immediately unless a boot time is set, and the planner that
/// issues them.
class SimulatedPlatform {
 public:
  explicit SimulatedPlatform(std::uint32_t onDemandPerDomain) {
    service_.name = kService;
    ReplicaLimits limits;
    limits.least = 1;
    limits.most = 6;
    limits.reclaimablePrice = 0.2;
    limits.domainPrices = {{FailureDomainName("a"), 0.8},
                           {FailureDomainName("b"), 1.2},
                           {FailureDomainName("c"), 1.0}};
    service_.replicas = limits;
    for (const char* domain : {"a", "b", "c"}) {
      counts_[{kService, FailureDomainName(domain), false}] = onDemandPerDomain;
      counts_[{kService, FailureDomainName(domain), true}] = 0;
    }
  }

  /// Runs the planner once. \returns the number of orders it issued.
  std::size_t planOnce(std::uint32_t load, int ms) {
    for (auto it = booting_.begin(); it != booting_.end();) {
      const auto& [group, boot] = *it;
      if (at(ms) >= boot.ready) counts_[group] = boot.count;
      it = at(ms) >= boot.ready ? booting_.erase(it) : std::next(it);
    }
    std::vector<UpstreamRecord> upstreams;
    for (const auto& [group, count] : counts_) {
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
      if (exhausted_.contains(order.group.domain.str()) && order.group.reclaimable) {
        planner_.noteRefused(order.group, at(ms));
        continue;
      }
      CPPUNIT_ASSERT(order.count <= 6);
      planner_.noteOrdered(order);
      const bool increase = order.count > counts_[order.group];
      if (increase && needsBoot(order.group)) {
        booting_[order.group] = {order.count, at(ms) + bootTime_};
      } else {
        booting_.erase(order.group);
        counts_[order.group] = order.count;
      }
    }
    return orders.size();
  }
  void planRepeatedly(std::uint32_t load, int from, int to) {
    for (int ms = from; ms < to; ms += 250) planOnce(load, ms);
  }
  std::uint32_t replicasIn(const std::string& domain, bool reclaimable) const {
    return counts_.at({kService, FailureDomainName(domain), reclaimable});
  }
  std::uint32_t totalReplicas(bool reclaimable) const {
    return replicasIn("a", reclaimable) + replicasIn("b", reclaimable) +
           replicasIn("c", reclaimable);
  }
  void reclaim(const std::string& domain) {
    counts_[{kService, FailureDomainName(domain), true}] = 0;
    exhausted_.insert(domain);
  }
  void restoreCapacity(const std::string& domain) { exhausted_.erase(domain); }
  /// Raises the boot time of new replicas to at least \p boot.
  /// \param onDemandImmediately whether on-demand replicas start without a boot time.
  void setBootTime(Millis boot, bool onDemandImmediately = false) {
    bootTime_ = bootTime_ > boot ? bootTime_ : boot;
    service_.replicas->boot = Millis(4'000);
    onDemandImmediately_ = onDemandImmediately;
  }
  void takeOver() {
    planner_ = ReplicaPlanner(CapacityPolicy{});
    planner_.resetOrders(true);
  }
  void registerOnDemand(std::uint32_t onDemandPerDomain) {
    for (auto& [group, count] : counts_) {
      if (!group.reclaimable) count = onDemandPerDomain;
    }
  }
  void setQuotaTokens(double tokens) { quotaTokens_ = tokens; }

 private:
  struct Booting {
    std::uint32_t count = 0;
    Instant ready{};
  };

  bool needsBoot(const ReplicaGroup& group) const {
    return bootTime_ > Millis(0) && (group.reclaimable || !onDemandImmediately_);
  }

  GatewayService service_;
  std::map<ReplicaGroup, std::uint32_t> counts_;
  std::map<ReplicaGroup, Booting> booting_;
  Millis bootTime_{0};
  bool onDemandImmediately_ = false;
  std::set<std::string> exhausted_;
  ReplicaPlanner planner_{CapacityPolicy{}};
  double quotaTokens_ = 0;
};

class CapacityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CapacityTest);
  CPPUNIT_TEST(reclaimableReplicasReplaceOnDemandOnes);
  CPPUNIT_TEST(enoughReplicasRemainAfterTheLossOfADomain);
  CPPUNIT_TEST(noOrdersWhileNothingChanges);
  CPPUNIT_TEST(capacityFollowsTheLoadAndScalesDownLater);
  CPPUNIT_TEST(initialCapacityFollowsTheQuotas);
  CPPUNIT_TEST(replicasThatRegisterLateCountAsInitial);
  CPPUNIT_TEST(orderedReplicasDoNotRaiseTheInitialNeed);
  CPPUNIT_TEST(newHolderKeepsTheExistingReplicas);
  CPPUNIT_TEST(onDemandReplicasAreNotOrderedWhileReclaimableOnesBoot);
  CPPUNIT_TEST(onDemandReplicasReplaceReclaimableOnesThatNeverBoot);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reclaimableReplicasReplaceOnDemandOnes() {
    SimulatedPlatform platform(3);
    platform.planOnce(20, 0);
    // No on-demand replica is removed before reclaimable ones have replaced it.
    CPPUNIT_ASSERT(platform.totalReplicas(false) >= 3);
    platform.planRepeatedly(20, 250, 2'000);
    CPPUNIT_ASSERT_EQUAL(1U, platform.totalReplicas(false));
    CPPUNIT_ASSERT_EQUAL(1U, platform.replicasIn("a", false));
    CPPUNIT_ASSERT_EQUAL(6U, platform.totalReplicas(true));
  }

  void enoughReplicasRemainAfterTheLossOfADomain() {
    SimulatedPlatform platform(3);
    platform.planRepeatedly(20, 0, 2'000);
    platform.reclaim("b");
    CPPUNIT_ASSERT(platform.totalReplicas(true) + platform.totalReplicas(false) >= 3);
    platform.planRepeatedly(20, 2'000, 4'000);
    CPPUNIT_ASSERT_EQUAL(0U, platform.replicasIn("b", true));
    // An on-demand replica keeps the domain at its minimum.
    CPPUNIT_ASSERT_EQUAL(1U, platform.replicasIn("b", false));
    CPPUNIT_ASSERT_EQUAL(4U, platform.totalReplicas(true));
    // Reclaimed replicas are ordered again after a while.
    platform.restoreCapacity("b");
    platform.planRepeatedly(20, 4'000, 20'000);
    CPPUNIT_ASSERT_EQUAL(6U, platform.totalReplicas(true));
    CPPUNIT_ASSERT_EQUAL(1U, platform.totalReplicas(false));
  }

  void noOrdersWhileNothingChanges() {
    SimulatedPlatform platform(3);
    platform.planRepeatedly(20, 0, 4'000);
    std::size_t orders = 0;
    for (int ms = 4'000; ms < 40'000; ms += 250) orders += platform.planOnce(20, ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, orders);
  }

  void capacityFollowsTheLoadAndScalesDownLater() {
    SimulatedPlatform platform(3);
    platform.planRepeatedly(20, 0, 2'000);
    platform.planRepeatedly(80, 2'000, 3'000);
    CPPUNIT_ASSERT(platform.totalReplicas(true) >= 9);
    platform.planRepeatedly(20, 3'000, 9'000);
    CPPUNIT_ASSERT(platform.totalReplicas(true) >= 9);
    platform.planRepeatedly(20, 9'000, 20'000);
    CPPUNIT_ASSERT_EQUAL(6U, platform.totalReplicas(true));
  }

  void initialCapacityFollowsTheQuotas() {
    SimulatedPlatform platform(3);
    platform.planRepeatedly(0, 0, 2'000);
    CPPUNIT_ASSERT(platform.totalReplicas(true) + platform.totalReplicas(false) >= 9);
    SimulatedPlatform withQuotas(3);
    withQuotas.setQuotaTokens(CapacityPolicy{}.quotaTokensPerReplica * 4);
    withQuotas.planRepeatedly(0, 0, 2'000);
    CPPUNIT_ASSERT_EQUAL(6U, withQuotas.totalReplicas(true));
    CPPUNIT_ASSERT_EQUAL(1U, withQuotas.totalReplicas(false));
  }

  /// Replicas register in the directory one after the other: a partly filled directory must not be
  /// taken for a small fleet.
  void replicasThatRegisterLateCountAsInitial() {
    SimulatedPlatform platform(1);
    platform.planOnce(0, 0);
    platform.registerOnDemand(5);
    platform.planRepeatedly(0, 250, 2'000);
    CPPUNIT_ASSERT(platform.totalReplicas(true) + platform.totalReplicas(false) >= 15);
  }

  /// Before any load is seen, reclaimable replicas that the planner ordered must not raise the need
  /// in turn.
  void orderedReplicasDoNotRaiseTheInitialNeed() {
    SimulatedPlatform platform(2);
    platform.planRepeatedly(0, 0, 8'000);
    CPPUNIT_ASSERT_EQUAL(9U, platform.totalReplicas(true));
  }

  /// The holder's daemon stopped, and its successor has received reports of almost no load yet.
  void newHolderKeepsTheExistingReplicas() {
    SimulatedPlatform platform(3);
    platform.planRepeatedly(80, 0, 20'000);
    const std::uint32_t before = platform.totalReplicas(true);
    platform.takeOver();
    platform.planRepeatedly(2, 20'000, 24'000);
    CPPUNIT_ASSERT_EQUAL(before, platform.totalReplicas(true));
    platform.planRepeatedly(20, 24'000, 60'000);
    CPPUNIT_ASSERT_EQUAL(6U, platform.totalReplicas(true));
  }

  void onDemandReplicasAreNotOrderedWhileReclaimableOnesBoot() {
    SimulatedPlatform platform(1);
    platform.planRepeatedly(20, 0, 2'000);
    platform.setBootTime(Millis(4'000), true);
    platform.planRepeatedly(80, 2'000, 6'000);
    CPPUNIT_ASSERT_EQUAL(1U, platform.totalReplicas(false));
    platform.planRepeatedly(80, 6'000, 7'000);
    CPPUNIT_ASSERT(platform.totalReplicas(true) >= 9);
    CPPUNIT_ASSERT_EQUAL(1U, platform.totalReplicas(false));
  }

  void onDemandReplicasReplaceReclaimableOnesThatNeverBoot() {
    SimulatedPlatform platform(1);
    platform.planRepeatedly(20, 0, 2'000);
    platform.setBootTime(Millis(60'000));
    platform.planRepeatedly(50, 2'000, 3'000);
    CPPUNIT_ASSERT_EQUAL(1U, platform.totalReplicas(false));
    platform.setBootTime(Millis(0), true);
    platform.planRepeatedly(50, 3'000, 10'000);
    CPPUNIT_ASSERT(platform.totalReplicas(true) + platform.totalReplicas(false) >= 6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityTest);

}  // namespace
