// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CAPACITY_REPLICAORDER_H
#define HALLCHUTE_CAPACITY_REPLICAORDER_H

#include <compare>
#include <cstdint>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief The unit of an order: a service's replicas of one kind in one failure domain.
/// \ingroup Capacity
struct ReplicaGroup {
  ServiceName service;
  FailureDomainName domain;
  /// Cheaper, but the platform may reclaim them.
  bool reclaimable = false;
  auto operator<=>(const ReplicaGroup&) const = default;
};

/// \brief The desired number of replicas of a group. \ingroup Capacity
struct ReplicaOrder {
  ReplicaGroup group;
  std::uint32_t count = 0;
  bool operator==(const ReplicaOrder&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_CAPACITY_REPLICAORDER_H
