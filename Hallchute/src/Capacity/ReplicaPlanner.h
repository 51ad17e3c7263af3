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

/// \brief Parameters of capacity planning; docs/CAPACITY.md explains the values. \ingroup Capacity
struct CapacityPolicy {
  /// Maximum of concurrent requests planned per replica. With more, the prefill of one prompt
  /// delays the tokens of too many others.
  double requestsPerReplica = 10;
  /// Replicas above what the load needs, since a burst arrives faster than a replica boots.
  std::uint32_t spareReplicas = 1;
  /// Minimum of a service's replicas, whatever its load.
  std::uint32_t minReplicas = 3;
  /// On-demand replicas to keep in case reclaimable ones are reclaimed, in the cheapest failure
  /// domains.
  std::uint32_t minOnDemandReplicas = 1;
  /// How long no order is sent for a group after the platform refused one for lack of capacity.
  Millis refusalCooldown{6'000};
  /// How long a group may have fewer replicas than ordered before the order is repeated: one and a
  /// half boot times.
  Millis shortfallTimeout{8'000};
  /// Tokens per second of the organisations' quotas that one replica is assumed to serve before any
  /// load is seen. On a scaled-up fleet, 45 replicas served a demand whose quotas allow 1.8 million
  /// tokens per second.
  double quotaTokensPerReplica = 40'000;
  /// How long the directory may still be incomplete after a holder's first plan: replicas that
  /// start together register within about two seconds.
  Millis discoveryPeriod{2'500};
  /// How long capacity is kept after the load drops, and after a takeover.
  Millis scaleDownDelay{10'000};
};

/// \brief The planner's input. \ingroup Capacity
struct CapacityView {
  std::span<const GatewayService> services;
  std::span<const UpstreamRecord> upstreams;
  /// Requests in flight by service, over all daemons.
  std::map<ServiceName, std::uint32_t> load;
  /// Tokens per second that the organisations' quotas allow in total; 0 if any is unlimited.
  double quotaTokens = 0;
};

/// \brief Decides how many replicas to order. No I/O, no clock. \ingroup Capacity
///
/// Reclaimable replicas serve the load, spread so that enough remain if any one failure domain is
/// lost. On-demand ones are removed only as reclaimable ones become ready to replace them.
class ReplicaPlanner {
 public:
  explicit ReplicaPlanner(CapacityPolicy policy) : policy_(policy) {}

  /// \brief Returns the orders that differ from the last ones.
  std::vector<ReplicaOrder> plan(const CapacityView& view, Instant now);
  /// \brief Records that the platform accepted an order.
  void noteOrdered(const ReplicaOrder& order);
  /// \brief Records that the platform has no capacity for a group now.
  void noteRefused(const ReplicaGroup& group, Instant now);
  /// \brief Discards the last orders and the demand, as another daemon may have ordered since.
  /// \param tookOver whether a previous holder ordered the existing replicas and the load reports
  /// may still be incomplete.
  void resetOrders(bool tookOver);
  /// \brief How many replicas a service needed at the last plan; 0 before the first.
  std::uint32_t need(const ServiceName& service) const;

 private:
  /// A service's replicas in a failure domain, except draining ones.
  struct ReplicaCounts {
    std::uint32_t onDemand = 0;
    std::uint32_t reclaimable = 0;
  };
  using Domains = std::map<FailureDomainName, ReplicaCounts>;

  /// State of a service's demand since this planner was started or reset.
  struct Demand {
    std::uint32_t need = 0;
    Instant heldUntil{};
    bool loadSeen = false;
    Instant firstObservedAt{};
    /// Maximum of the replicas found that this planner didn't order.
    std::uint32_t initialReplicas = 0;
    /// Whether they included reclaimable ones, which are ordered with a margin for a lost domain.
    bool includesReclaimable = false;
  };

  void observeInitialReplicas(const GatewayService& service, const Domains& domains, Instant now);
  std::uint32_t updateNeed(const GatewayService& service, const CapacityView& view,
                           std::size_t domains, Instant now);
  std::uint32_t initialNeed(const Demand& demand, const CapacityView& view,
                            std::size_t domains) const;
  void planService(const GatewayService& service, const Domains& domains, std::uint32_t need,
                   Instant now, std::vector<ReplicaOrder>& orders);
  std::map<FailureDomainName, std::uint32_t> reclaimableTargets(const GatewayService& service,
                                                                const Domains& domains,
                                                                std::uint32_t need,
                                                                Instant now) const;
  /// Reclaimable replicas that are ready now, and that will be once all ordered ones have started.
  struct Reclaimable {
    std::uint32_t ready = 0;
    std::uint32_t expectedReady = 0;
  };
  std::uint32_t expectedReady(const GatewayService& service,
                              const std::map<FailureDomainName, std::uint32_t>& wanted,
                              std::uint32_t ready, Instant now);
  std::map<FailureDomainName, std::uint32_t> onDemandTargets(const GatewayService& service,
                                                             const Domains& domains,
                                                             std::uint32_t need,
                                                             Reclaimable reclaimable) const;
  void addIfChanged(const ReplicaOrder& order, std::uint32_t present, Instant now,
                    std::vector<ReplicaOrder>& orders);
  bool refused(const ReplicaGroup& group, Instant now) const;

  CapacityPolicy policy_;
  bool tookOver_ = false;
  std::map<ReplicaGroup, std::uint32_t> ordered_;
  std::map<ReplicaGroup, Instant> refusedUntil_;
  /// Since when a group has had fewer replicas than ordered.
  std::map<ReplicaGroup, Instant> shortfallSince_;
  std::map<ServiceName, Demand> demands_;
  /// Since when a service has had fewer reclaimable replicas than wanted.
  std::map<ServiceName, Instant> bootingSince_;
  /// Failure domains in which a service ever had replicas: its groups remain there even if all
  /// replicas are gone.
  std::map<ServiceName, std::set<FailureDomainName>> knownDomains_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_CAPACITY_REPLICAPLANNER_H
