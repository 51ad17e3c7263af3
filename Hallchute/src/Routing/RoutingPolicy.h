// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_ROUTINGPOLICY_H
#define HALLCHUTE_ROUTING_ROUTINGPOLICY_H

#include <cstddef>
#include <variant>

namespace Hallchute {

/// \brief Baseline: cycles through the usable upstreams.
/// \ingroup Routing
struct RoundRobin {
  std::size_t next = 0;
};

/// \brief Baseline: the upstream with the fewest requests in flight.
/// \ingroup Routing
struct LeastInFlight {};

/// \brief Baseline: maps an affinity to a fixed upstream, regardless of load.
/// \ingroup Routing
struct SessionHash {};

/// \brief Lowest cost in tokens among the upstreams below a load bound.
/// \ingroup Routing
///
/// The cost is the sum of the tokens to compute, the tokens that they evict from the cache
/// (weighted higher the more recently these were used) and the load. docs/DESIGN.md gives the
/// measurements behind each term.
struct PrefixAffinity {
  /// Requests in flight below which an upstream is preferred, as a multiple of the mean plus one.
  double loadBound = 4;
  /// Cost of each request in flight on an upstream, in tokens.
  double tokensPerRequest = 100;
  /// Cost of evicting a token of mean age, relative to computing one.
  double evictionWeight = 1;
};

/// \brief Policies for choosing an upstream; docs/DESIGN.md compares them.
/// \ingroup Routing
using RoutingPolicy = std::variant<PrefixAffinity, RoundRobin, LeastInFlight, SessionHash>;

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_ROUTINGPOLICY_H
