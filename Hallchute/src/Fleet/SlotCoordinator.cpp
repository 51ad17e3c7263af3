// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/SlotCoordinator.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Fleet/FleetRoster.h"

namespace Hallchute {
namespace {

/// The minimum of exponential variables selects each member with a probability proportional to its
/// rate.
double costOf(const FleetMember& member, std::uint64_t seed) {
  const double capacity = std::max<std::uint32_t>(1, member.capacity);
  return -std::log1p(-hashFraction(member.daemon.str(), seed)) / capacity;
}

}  // namespace

std::optional<FleetMember> slotCoordinator(const FleetRoster& roster, const UpstreamId& upstream,
                                           bool leaving, Instant now) {
  const std::uint64_t seed = stableHash(upstream.str());
  const FleetMember* best = nullptr;
  double bestCost = leaving ? std::numeric_limits<double>::infinity() : costOf(roster.self(), seed);
  for (const auto& [daemon, peer] : roster.peers()) {
    if (!peer.alive(now)) continue;
    const double cost = costOf(peer.report.self, seed);
    if (cost >= bestCost) continue;
    best = &peer.report.self;
    bestCost = cost;
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

}  // namespace Hallchute
