// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CAPACITY_REPLICAORDER_H
#define HALLCHUTE_CAPACITY_REPLICAORDER_H

#include <compare>
#include <cstdint>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief Replicas that are ordered together: of a service, in a failure domain, of one kind.
/// \ingroup Capacity
struct ReplicaGroup {
  ServiceName service;
  DomainName domain;
  /// Cheaper, and the platform may take them away.
  bool reclaimable = false;
  auto operator<=>(const ReplicaGroup&) const = default;
};

/// \brief How many replicas of a group there should be. \ingroup Capacity
struct ReplicaOrder {
  ReplicaGroup group;
  std::uint32_t count = 0;
  bool operator==(const ReplicaOrder&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_CAPACITY_REPLICAORDER_H
