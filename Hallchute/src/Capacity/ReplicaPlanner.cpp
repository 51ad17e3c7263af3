// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Capacity/ReplicaPlanner.h"

#include <algorithm>
#include <cmath>

namespace Hallchute {
namespace {

/// How many boot times a reclaimable replica is waited for before an on-demand one is ordered in
/// its place: one, and half of one for the order and the replica's entry in the directory.
constexpr double kBootsWaitedFor = 1.5;

double priceIn(const ReplicaLimits& limits, const DomainName& domain) {
  const auto it = limits.domainPrices.find(domain);
  return it == limits.domainPrices.end() ? 1.0 : it->second;
}

std::uint32_t dividedUp(std::uint32_t total, std::uint32_t parts) {
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
  refusedUntil_[group] = now + policy_.refusedFor;
}

std::uint32_t ReplicaPlanner::need(const ServiceName& service) const {
  const auto it = demands_.find(service);
  return it == demands_.end() ? 0 : it->second.need;
}

/// What was there before this planner's own orders.
void ReplicaPlanner::look(const GatewayService& service, const Domains& domains, Instant now) {
  Demand& demand = demands_[service.name];
  if (demand.firstLook == Instant{}) demand.firstLook = now;
  // The directory of a fleet that starts fills entry by entry.
  if (demand.loadSeen || now - demand.firstLook > policy_.firstLooks) return;
  std::uint32_t found = 0;
  for (const auto& [domain, present] : domains) {
    found += present.onDemand;
    if (ordered_.contains({service.name, domain, true})) continue;
    found += present.reclaimable;
    demand.hasMargin = demand.hasMargin || present.reclaimable > 0;
  }
  demand.found = std::max(demand.found, found);
}

/// Before the load is known there is nothing to go by but what was there: an earlier holder's
/// choice, with its margin for a lost domain, or a start's, of which the quotas tell how much is
/// needed.
std::uint32_t ReplicaPlanner::neededAtFirst(const Demand& demand, const CapacityView& view,
                                            std::size_t domains) const {
  if (demand.hasMargin && domains > 1) {
    return static_cast<std::uint32_t>(demand.found * (domains - 1) / domains);
  }
  if (tookOver_) return demand.found;
  if (view.quotaTokens <= 0) return demand.found;
  const double replicas = std::ceil(view.quotaTokens / policy_.quotaTokensPerReplica);
  return std::min(demand.found, static_cast<std::uint32_t>(replicas));
}

std::uint32_t ReplicaPlanner::needed(const GatewayService& service, const CapacityView& view,
                                     std::size_t domains, Instant now) {
  const auto found = view.load.find(service.name);
  const std::uint32_t load = found == view.load.end() ? 0 : found->second;
  Demand& demand = demands_[service.name];
  demand.loadSeen = demand.loadSeen || load > 0;
  const auto forLoad = static_cast<std::uint32_t>(std::ceil(load / policy_.runsPerReplica));
  std::uint32_t need = std::max(policy_.least, forLoad + policy_.spare);
  // A new holder's first word of the load may come from few daemons.
  const bool early = tookOver_ && now - demand.firstLook < policy_.holdFor;
  if (early || !demand.loadSeen) need = std::max(need, neededAtFirst(demand, view, domains));
  if (need >= demand.need || now >= demand.until) {
    demand.need = need;
    demand.until = now + policy_.holdFor;
  }
  return demand.need;
}

std::vector<ReplicaOrder> ReplicaPlanner::plan(const CapacityView& view, Instant now) {
  std::vector<ReplicaOrder> orders;
  for (const GatewayService& service : view.services) {
    if (!service.replicas) continue;
    Domains domains;
    std::set<DomainName>& seen = seen_[service.name];
    for (const UpstreamRecord& upstream : view.upstreams) {
      if (upstream.service != service.name) continue;
      seen.insert(upstream.domain);
      if (upstream.state == UpstreamState::draining) continue;
      Present& present = domains[upstream.domain];
      ++(upstream.reclaimable ? present.reclaimable : present.onDemand);
    }
    for (const DomainName& domain : seen) domains.try_emplace(domain);
    if (domains.empty()) continue;
    look(service, domains, now);
    const std::uint32_t need = needed(service, view, domains.size(), now);
    planService(service, domains, need, now, orders);
  }
  return orders;
}

std::map<DomainName, std::uint32_t> ReplicaPlanner::reclaimableWanted(const GatewayService& service,
                                                                      const Domains& domains,
                                                                      std::uint32_t need,
                                                                      Instant now) const {
  std::map<DomainName, std::uint32_t> wanted;
  if (!service.replicas->reclaimablePrice) return wanted;
  std::uint32_t open = 0;
  for (const auto& [domain, present] : domains) {
    if (!refused({service.name, domain, true}, now)) ++open;
  }
  // With one domain lost, the others carry the need.
  const std::uint32_t carriers = std::max<std::uint32_t>(1, open > 1 ? open - 1 : open);
  const std::uint32_t each = std::min(dividedUp(need, carriers), service.replicas->most);
  for (const auto& [domain, present] : domains) {
    wanted[domain] = refused({service.name, domain, true}, now) ? present.reclaimable : each;
  }
  return wanted;
}

std::uint32_t ReplicaPlanner::coming(const GatewayService& service,
                                     const std::map<DomainName, std::uint32_t>& wanted,
                                     std::uint32_t ready, Instant now) {
  std::uint32_t expected = 0;
  for (const auto& [domain, count] : wanted) expected += count;
  if (expected <= ready) {
    bootingSince_.erase(service.name);
    return ready;
  }
  const Instant since = bootingSince_.try_emplace(service.name, now).first->second;
  const auto patience =
      std::chrono::duration<double, std::milli>(service.replicas->boot) * kBootsWaitedFor;
  return now - since <= patience ? expected : ready;
}

std::map<DomainName, std::uint32_t> ReplicaPlanner::onDemandWanted(const GatewayService& service,
                                                                   const Domains& domains,
                                                                   std::uint32_t need,
                                                                   Reclaimable reclaimable) const {
  const ReplicaLimits& limits = *service.replicas;
  std::vector<DomainName> byPrice;
  for (const auto& [domain, present] : domains) byPrice.push_back(domain);
  std::stable_sort(byPrice.begin(), byPrice.end(), [&](const auto& a, const auto& b) {
    return priceIn(limits, a) < priceIn(limits, b);
  });
  const auto open = [&](std::uint32_t carried) {
    return std::max(policy_.onDemandFloor, need > carried ? need - carried : 0);
  };
  std::map<DomainName, std::uint32_t> wanted;
  std::uint32_t total = 0;
  // Those that are there stay until reclaimable ones are ready; more are ordered only for what no
  // reclaimable one is coming for, as both take as long to boot.
  for (const bool keep : {true, false}) {
    const std::uint32_t most = open(keep ? reclaimable.ready : reclaimable.coming);
    for (const DomainName& domain : byPrice) {
      const Present& present = domains.at(domain);
      const std::uint32_t room = limits.most - std::min(limits.most, present.reclaimable);
      const std::uint32_t bound = keep ? std::min(room, present.onDemand) : room;
      std::uint32_t& have = wanted[domain];
      const std::uint32_t left = most > total ? most - total : 0;
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
  const auto wanted = reclaimableWanted(service, domains, need, now);
  std::uint32_t ready = 0;
  for (const auto& [domain, present] : domains) ready += present.reclaimable;
  for (const auto& [domain, count] : wanted) {
    const ReplicaGroup group{service.name, domain, true};
    if (!refused(group, now)) add({group, count}, domains.at(domain).reclaimable, now, orders);
  }
  const Reclaimable reclaimable{ready, coming(service, wanted, ready, now)};
  const auto onDemand = onDemandWanted(service, domains, need, reclaimable);
  for (const auto& [domain, count] : onDemand) {
    const Present& present = domains.at(domain);
    const std::uint32_t floor =
        limits.least > present.reclaimable ? limits.least - present.reclaimable : 0;
    const ReplicaGroup group{service.name, domain, false};
    if (refused(group, now)) continue;
    add({group, std::max(count, floor)}, present.onDemand, now, orders);
  }
}

void ReplicaPlanner::add(const ReplicaOrder& order, std::uint32_t present, Instant now,
                         std::vector<ReplicaOrder>& orders) {
  const auto last = ordered_.find(order.group);
  std::uint32_t standing = last == ordered_.end() ? present : last->second;
  if (present >= standing) {
    shortSince_.erase(order.group);
  } else if (now - shortSince_.try_emplace(order.group, now).first->second > policy_.shortFor) {
    // They were taken away, or never came: the order is given again.
    shortSince_.erase(order.group);
    standing = present;
  }
  if (standing != order.count) orders.push_back(order);
}

}  // namespace Hallchute
