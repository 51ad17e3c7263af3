// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CAPACITY_REPLICAPLANNER_H
#define HALLCHUTE_CAPACITY_REPLICAPLANNER_H

#include <map>
#include <set>
#include <span>
#include <vector>

#include "Hallchute/src/Capacity/ReplicaOrder.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/GatewaySettings.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

/// \brief How capacity follows demand; each figure's choice is in docs/CAPACITY.md. \ingroup
/// Capacity
struct CapacityPolicy {
  /// Requests that one replica should work on at once at most. With more, prompts that are read
  /// delay the tokens of too many.
  double runsPerReplica = 10;
  /// Replicas above what the load asks for: a burst comes faster than a replica boots.
  std::uint32_t spare = 1;
  /// The least number of a service's replicas, whatever its load.
  std::uint32_t least = 3;
  /// On-demand replicas that stay whatever is taken away, in the cheapest failure domains.
  std::uint32_t onDemandFloor = 1;
  /// How long a group that had none to give is not asked again.
  Millis refusedFor{6'000};
  /// How long a group may lack what was ordered before it is ordered again: a boot and a half.
  Millis shortFor{8'000};
  /// Tokens a second of the organisations' quotas that one replica is taken to serve while no load
  /// has been seen yet. On a grown fleet 45 replicas carried a demand whose quotas allow 1.8
  /// million tokens a second.
  double quotaTokensPerReplica = 40'000;
  /// How long after a holder's first look the directory may still be filling: replicas that start
  /// together write themselves within about two seconds.
  Millis firstLooks{2'500};
  /// How long capacity stays after the load that asked for it fell, or as it was found.
  Millis holdFor{10'000};
};

/// \brief What the planner looks at. \ingroup Capacity
struct CapacityView {
  std::span<const GatewayService> services;
  std::span<const UpstreamRecord> upstreams;
  /// Requests under way by service, over all daemons.
  std::map<ServiceName, std::uint32_t> load;
  /// Tokens a second that the organisations' quotas allow together; 0 if any has no limit.
  double quotaTokens = 0;
};

/// \brief Decides how many replicas to order. No I/O, no clock. \ingroup Capacity
///
/// Reclaimable replicas carry the load, spread so that the loss of any failure domain leaves
/// enough; on-demand ones leave only as fast as reclaimable ones are ready to take over.
class ReplicaPlanner {
 public:
  explicit ReplicaPlanner(CapacityPolicy policy) : policy_(policy) {}

  /// \brief The orders that differ from what was ordered last.
  std::vector<ReplicaOrder> plan(const CapacityView& view, Instant now);
  /// \brief The platform took an order.
  void noteOrdered(const ReplicaOrder& order);
  /// \brief There are none to be had of that group now.
  void noteRefused(const ReplicaGroup& group, Instant now);
  /// \brief Another daemon ordered meanwhile: what was ordered last is not known any more.
  /// \param tookOver an earlier holder's choice is there, and the load is not fully heard of yet.
  void resetOrders(bool tookOver);
  /// \brief How many replicas a service was last found to need; 0 before the first plan.
  std::uint32_t need(const ServiceName& service) const;

 private:
  /// What a service has in a failure domain, not counting what is leaving.
  struct Present {
    std::uint32_t onDemand = 0;
    std::uint32_t reclaimable = 0;
  };
  using Domains = std::map<DomainName, Present>;

  /// What is known of a service's demand since this planner began to order.
  struct Demand {
    std::uint32_t need = 0;
    Instant until{};
    bool loadSeen = false;
    Instant firstLook{};
    /// The most replicas that were there without orders of this planner.
    std::uint32_t found = 0;
    /// Reclaimable ones were among them, which are ordered with a margin for a lost domain.
    bool hasMargin = false;
  };

  void look(const GatewayService& service, const Domains& domains, Instant now);
  std::uint32_t needed(const GatewayService& service, const CapacityView& view, std::size_t domains,
                       Instant now);
  std::uint32_t neededAtFirst(const Demand& demand, const CapacityView& view,
                              std::size_t domains) const;
  void planService(const GatewayService& service, const Domains& domains, std::uint32_t need,
                   Instant now, std::vector<ReplicaOrder>& orders);
  std::map<DomainName, std::uint32_t> reclaimableWanted(const GatewayService& service,
                                                        const Domains& domains, std::uint32_t need,
                                                        Instant now) const;
  /// What of the reclaimable ones is ready, and what will be if all that is ordered comes.
  struct Reclaimable {
    std::uint32_t ready = 0;
    std::uint32_t coming = 0;
  };
  std::uint32_t coming(const GatewayService& service,
                       const std::map<DomainName, std::uint32_t>& wanted, std::uint32_t ready,
                       Instant now);
  std::map<DomainName, std::uint32_t> onDemandWanted(const GatewayService& service,
                                                     const Domains& domains, std::uint32_t need,
                                                     Reclaimable reclaimable) const;
  void add(const ReplicaOrder& order, std::uint32_t present, Instant now,
           std::vector<ReplicaOrder>& orders);
  bool refused(const ReplicaGroup& group, Instant now) const;

  CapacityPolicy policy_;
  bool tookOver_ = false;
  std::map<ReplicaGroup, std::uint32_t> ordered_;
  std::map<ReplicaGroup, Instant> refusedUntil_;
  /// Since when a group has had fewer than ordered.
  std::map<ReplicaGroup, Instant> shortSince_;
  std::map<ServiceName, Demand> demands_;
  /// Since when a service has had fewer reclaimable replicas than wanted.
  std::map<ServiceName, Instant> bootingSince_;
  /// Where a service was ever seen: its groups exist there though all may be gone.
  std::map<ServiceName, std::set<DomainName>> seen_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_CAPACITY_REPLICAPLANNER_H
