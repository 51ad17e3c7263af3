// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_UPSTREAMCHOOSER_H
#define HALLCHUTE_ROUTING_UPSTREAMCHOOSER_H

#include <optional>
#include <span>

#include "Hallchute/src/Routing/Candidate.h"
#include "Hallchute/src/Routing/RoutingPolicy.h"

namespace Hallchute {

/// \brief Returns the slot that \p policy chooses for \p request; empty if there are no candidates.
/// \ingroup Routing
/// \param policy keeps state between calls for RoundRobin.
/// \param candidates upstreams with free capacity, in slot order. Cost: linear in their number.
std::optional<std::size_t> chooseUpstream(RoutingPolicy& policy, const RoutingRequest& request,
                                          std::span<const Candidate> candidates);

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_UPSTREAMCHOOSER_H
