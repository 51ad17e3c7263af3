// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Capacity/ReplicaPlanner.h"

#include <algorithm>
#include <cmath>

namespace Hallchute {
namespace {

/// Boot times to wait for a reclaimable replica before ordering an on-demand one instead: one for
/// the boot, and half of one for the order and the replica's entry in the directory.
constexpr double kBootTimesBeforeFallback = 1.5;

double priceOf(const ReplicaLimits& limits, const FailureDomainName& domain) {
  const auto it = limits.domainPrices.find(domain);
  return it == limits.domainPrices.end() ? 1.0 : it->second;
}

std::uint32_t divideRoundingUp(std::uint32_t total, std::uint32_t parts) {
  return (total + parts - 1) / parts;
}

}  // namespace

bool ReplicaPlanner::refused(const ReplicaGroup& group, Instant now) const {
  const auto it = refusedUntil_.find(group);
  return it != refusedUntil_.end() && now < it->second;
}

void ReplicaPlanner::resetOrders(bool tookOver) {
  tookOver_ = tookOver;
  ordered_.clear();
  demands_.clear();
}

void ReplicaPlanner::noteOrdered(const ReplicaOrder& order) {
  ordered_[order.group] = order.count;
}

void ReplicaPlanner::noteRefused(const ReplicaGroup& group, Instant now) {
  refusedUntil_[group] = now + policy_.refusalCooldown;
}

std::uint32_t ReplicaPlanner::need(const ServiceName& service) const {
  const auto it = demands_.find(service);
  return it == demands_.end() ? 0 : it->second.need;
}

/// Records the replicas that exist without this planner's own orders.
void ReplicaPlanner::observeInitialReplicas(const GatewayService& service, const Domains& domains,
                                            Instant now) {
  Demand& demand = demands_[service.name];
  if (demand.firstObservedAt == Instant{}) demand.firstObservedAt = now;
  // While a fleet starts, its replicas enter the directory one by one.
  if (demand.loadSeen || now - demand.firstObservedAt > policy_.discoveryPeriod) return;
  std::uint32_t found = 0;
  for (const auto& [domain, present] : domains) {
    found += present.onDemand;
    if (ordered_.contains({service.name, domain, true})) continue;
    found += present.reclaimable;
    demand.includesReclaimable = demand.includesReclaimable || present.reclaimable > 0;
  }
  demand.initialReplicas = std::max(demand.initialReplicas, found);
}

/// Estimates the need from the replicas found, before the load is known. A previous holder ordered
/// reclaimable ones with a margin for a lost domain, which is taken off. Those found at a first
/// start are limited to what the quotas need.
std::uint32_t ReplicaPlanner::initialNeed(const Demand& demand, const CapacityView& view,
                                          std::size_t domains) const {
  if (demand.includesReclaimable && domains > 1) {
    return static_cast<std::uint32_t>(demand.initialReplicas * (domains - 1) / domains);
  }
  if (tookOver_) return demand.initialReplicas;
  if (view.quotaTokens <= 0) return demand.initialReplicas;
  const double replicas = std::ceil(view.quotaTokens / policy_.quotaTokensPerReplica);
  return std::min(demand.initialReplicas, static_cast<std::uint32_t>(replicas));
}

std::uint32_t ReplicaPlanner::updateNeed(const GatewayService& service, const CapacityView& view,
                                         std::size_t domains, Instant now) {
  const auto found = view.load.find(service.name);
  const std::uint32_t load = found == view.load.end() ? 0 : found->second;
  Demand& demand = demands_[service.name];
  demand.loadSeen = demand.loadSeen || load > 0;
  const auto forLoad = static_cast<std::uint32_t>(std::ceil(load / policy_.requestsPerReplica));
  std::uint32_t need = std::max(policy_.minReplicas, forLoad + policy_.spareReplicas);
  // The first load that a new holder sees may come from few daemons.
  const bool early = tookOver_ && now - demand.firstObservedAt < policy_.scaleDownDelay;
  if (early || !demand.loadSeen) need = std::max(need, initialNeed(demand, view, domains));
  if (need >= demand.need || now >= demand.heldUntil) {
    demand.need = need;
    demand.heldUntil = now + policy_.scaleDownDelay;
  }
  return demand.need;
}

std::vector<ReplicaOrder> ReplicaPlanner::plan(const CapacityView& view, Instant now) {
  std::vector<ReplicaOrder> orders;
  for (const GatewayService& service : view.services) {
    if (!service.replicas) continue;
    Domains domains;
    std::set<FailureDomainName>& seen = knownDomains_[service.name];
    for (const UpstreamRecord& upstream : view.upstreams) {
      if (upstream.service != service.name) continue;
      seen.insert(upstream.domain);
      if (upstream.state == UpstreamState::draining) continue;
      ReplicaCounts& present = domains[upstream.domain];
      ++(upstream.reclaimable ? present.reclaimable : present.onDemand);
    }
    for (const FailureDomainName& domain : seen) domains.try_emplace(domain);
    if (domains.empty()) continue;
    observeInitialReplicas(service, domains, now);
    const std::uint32_t need = updateNeed(service, view, domains.size(), now);
    planService(service, domains, need, now, orders);
  }
  return orders;
}

std::map<FailureDomainName, std::uint32_t> ReplicaPlanner::reclaimableTargets(
    const GatewayService& service, const Domains& domains, std::uint32_t need, Instant now) const {
  std::map<FailureDomainName, std::uint32_t> wanted;
  if (!service.replicas->reclaimablePrice) return wanted;
  std::uint32_t orderableDomains = 0;
  for (const auto& [domain, present] : domains) {
    if (!refused({service.name, domain, true}, now)) ++orderableDomains;
  }
  // If one domain is lost, the others must cover the need.
  const std::uint32_t survivingDomains =
      std::max<std::uint32_t>(1, orderableDomains > 1 ? orderableDomains - 1 : orderableDomains);
  const std::uint32_t perDomain =
      std::min(divideRoundingUp(need, survivingDomains), service.replicas->most);
  for (const auto& [domain, present] : domains) {
    wanted[domain] = refused({service.name, domain, true}, now) ? present.reclaimable : perDomain;
  }
  return wanted;
}

std::uint32_t ReplicaPlanner::expectedReady(
    const GatewayService& service, const std::map<FailureDomainName, std::uint32_t>& wanted,
    std::uint32_t ready, Instant now) {
  std::uint32_t expected = 0;
  for (const auto& [domain, count] : wanted) expected += count;
  if (expected <= ready) {
    bootingSince_.erase(service.name);
    return ready;
  }
  const Instant since = bootingSince_.try_emplace(service.name, now).first->second;
  const auto bootTimeout =
      std::chrono::duration<double, std::milli>(service.replicas->boot) * kBootTimesBeforeFallback;
  return now - since <= bootTimeout ? expected : ready;
}

std::map<FailureDomainName, std::uint32_t> ReplicaPlanner::onDemandTargets(
    const GatewayService& service, const Domains& domains, std::uint32_t need,
    Reclaimable reclaimable) const {
  const ReplicaLimits& limits = *service.replicas;
  std::vector<FailureDomainName> byPrice;
  for (const auto& [domain, present] : domains) byPrice.push_back(domain);
  std::stable_sort(byPrice.begin(), byPrice.end(), [&](const auto& a, const auto& b) {
    return priceOf(limits, a) < priceOf(limits, b);
  });
  const auto uncovered = [&](std::uint32_t covered) {
    return std::max(policy_.minOnDemandReplicas, need > covered ? need - covered : 0);
  };
  std::map<FailureDomainName, std::uint32_t> wanted;
  std::uint32_t total = 0;
  // First pass: existing on-demand replicas stay until reclaimable ones are ready to replace them.
  // Second pass: more are ordered only for the need that pending reclaimable ones don't cover, as
  // both kinds take equally long to boot.
  for (const bool keepExisting : {true, false}) {
    const std::uint32_t target =
        uncovered(keepExisting ? reclaimable.ready : reclaimable.expectedReady);
    for (const FailureDomainName& domain : byPrice) {
      const ReplicaCounts& present = domains.at(domain);
      const std::uint32_t room = limits.most - std::min(limits.most, present.reclaimable);
      const std::uint32_t bound = keepExisting ? std::min(room, present.onDemand) : room;
      std::uint32_t& have = wanted[domain];
      const std::uint32_t left = target > total ? target - total : 0;
      const std::uint32_t more = std::min(left, bound > have ? bound - have : 0);
      have += more;
      total += more;
    }
  }
  return wanted;
}

void ReplicaPlanner::planService(const GatewayService& service, const Domains& domains,
                                 std::uint32_t need, Instant now,
                                 std::vector<ReplicaOrder>& orders) {
  const ReplicaLimits& limits = *service.replicas;
  const auto wanted = reclaimableTargets(service, domains, need, now);
  std::uint32_t ready = 0;
  for (const auto& [domain, present] : domains) ready += present.reclaimable;
  for (const auto& [domain, count] : wanted) {
    const ReplicaGroup group{service.name, domain, true};
    if (!refused(group, now))
      addIfChanged({group, count}, domains.at(domain).reclaimable, now, orders);
  }
  const Reclaimable reclaimable{ready, expectedReady(service, wanted, ready, now)};
  const auto onDemand = onDemandTargets(service, domains, need, reclaimable);
  for (const auto& [domain, count] : onDemand) {
    const ReplicaCounts& present = domains.at(domain);
    const std::uint32_t floor =
        limits.least > present.reclaimable ? limits.least - present.reclaimable : 0;
    const ReplicaGroup group{service.name, domain, false};
    if (refused(group, now)) continue;
    addIfChanged({group, std::max(count, floor)}, present.onDemand, now, orders);
  }
}

void ReplicaPlanner::addIfChanged(const ReplicaOrder& order, std::uint32_t present, Instant now,
                                  std::vector<ReplicaOrder>& orders) {
  const auto last = ordered_.find(order.group);
  std::uint32_t lastOrdered = last == ordered_.end() ? present : last->second;
  if (present >= lastOrdered) {
    shortfallSince_.erase(order.group);
  } else if (now - shortfallSince_.try_emplace(order.group, now).first->second >
             policy_.shortfallTimeout) {
    // The missing replicas were reclaimed or never started: repeat the order.
    shortfallSince_.erase(order.group);
    lastOrdered = present;
  }
  if (lastOrdered != order.count) orders.push_back(order);
}

}  // namespace Hallchute
