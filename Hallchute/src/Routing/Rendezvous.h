// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_RENDEZVOUS_H
#define HALLCHUTE_ROUTING_RENDEZVOUS_H

#include <span>
#include <string_view>
#include <vector>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief Ranks \p members for \p key by rendezvous (highest random weight) hashing; the first one
/// owns the key.
/// \ingroup Routing
///
/// Every process computes the same order from the same members. When a member leaves, only the keys
/// that it owned are reassigned. Cost: one hash per member and a sort.
std::vector<DaemonId> rankOwners(std::string_view key, std::span<const DaemonId> members);

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_RENDEZVOUS_H
