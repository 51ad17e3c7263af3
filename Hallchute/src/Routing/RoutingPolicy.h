// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_ROUTINGPOLICY_H
#define HALLCHUTE_ROUTING_ROUTINGPOLICY_H

#include <cstddef>
#include <variant>

namespace Hallchute {

/// \brief Baseline: each usable upstream in turn.
/// \ingroup Routing
struct RoundRobin {
  std::size_t next = 0;
};

/// \brief Baseline: the upstream with the least work in flight.
/// \ingroup Routing
struct LeastInFlight {};

/// \brief Baseline: the same upstream for the same affinity, whatever its load.
/// \ingroup Routing
struct SessionHash {};

/// \brief The least cost in tokens among the upstreams under a load bound.
/// \ingroup Routing
///
/// The cost counts the tokens to compute, again those that they push out of the cache (the more the
/// younger these are), and the load. docs/DESIGN.md has the figures that led to each part.
struct PrefixAffinity {
  /// Work on one upstream relative to the mean up to which its cache may draw more.
  double loadBound = 4;
  /// What a request in flight on an upstream counts, in tokens.
  double tokensPerRequest = 100;
  /// What an evicted token of mean age counts.
  double evictionWeight = 1;
};

/// \brief The ways of choosing an upstream; see docs/DESIGN.md for what was measured.
/// \ingroup Routing
using RoutingPolicy = std::variant<PrefixAffinity, RoundRobin, LeastInFlight, SessionHash>;

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_ROUTINGPOLICY_H
