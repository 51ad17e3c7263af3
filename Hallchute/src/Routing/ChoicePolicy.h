// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_CHOICEPOLICY_H
#define HALLCHUTE_ROUTING_CHOICEPOLICY_H

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

/// \brief The most cached prefix among the upstreams under a load bound; least load breaks ties.
/// \ingroup Routing
struct PrefixAffinity {
  /// Work on one upstream relative to the mean up to which its cache may draw more.
  double loadBound = 1.5;
};

/// \brief The ways of choosing an upstream; see docs/DESIGN.md for what was measured.
/// \ingroup Routing
using ChoicePolicy = std::variant<PrefixAffinity, RoundRobin, LeastInFlight, SessionHash>;

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_CHOICEPOLICY_H
