// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_UPSTREAMCHOOSER_H
#define HALLCHUTE_ROUTING_UPSTREAMCHOOSER_H

#include <optional>
#include <span>

#include "Hallchute/src/Routing/Candidate.h"
#include "Hallchute/src/Routing/RoutingPolicy.h"

namespace Hallchute {

/// \brief The slot that \p policy takes for \p request, or nothing if no candidate will do.
/// \ingroup Routing
/// \param policy keeps state between calls (RoundRobin).
/// \param candidates upstreams with room, in slot order. Cost: one pass.
std::optional<std::size_t> chooseUpstream(RoutingPolicy& policy, const RoutingRequest& request,
                                          std::span<const Candidate> candidates);

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_UPSTREAMCHOOSER_H
