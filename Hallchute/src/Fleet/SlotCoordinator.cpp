// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/SlotCoordinator.h"

#include <algorithm>
#include <limits>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Fleet/FleetRoster.h"

namespace Hallchute {
namespace {

double rankOf(const FleetMember& member, std::uint64_t seed) {
  const double capacity = std::max<std::uint32_t>(1, member.capacity);
  return weightedHashRank(member.daemon.str(), seed, capacity);
}

}  // namespace

std::optional<FleetMember> slotCoordinator(const FleetRoster& roster, const UpstreamId& upstream,
                                           bool leaving, Instant now) {
  const std::uint64_t seed = stableHash(upstream.str());
  const FleetMember* best = nullptr;
  double bestRank = leaving ? std::numeric_limits<double>::infinity() : rankOf(roster.self(), seed);
  for (const auto& [daemon, peer] : roster.peers()) {
    if (!peer.alive(now)) continue;
    const double rank = rankOf(peer.report.self, seed);
    if (rank >= bestRank) continue;
    best = &peer.report.self;
    bestRank = rank;
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

}  // namespace Hallchute
