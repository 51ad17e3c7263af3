// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/ForwardingPeer.h"

#include <algorithm>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Fleet/FleetRoster.h"

namespace Hallchute {
namespace {

/// Daemons that one daemon's requests go to.
constexpr std::uint64_t kPeersUsed = 4;

bool canForward(const FleetPeer& peer, const ServiceName& service, Instant now) {
  const auto& lost = peer.report.self.lostPaths;
  return peer.alive(now) && std::find(lost.begin(), lost.end(), service) == lost.end();
}

}  // namespace

std::optional<FleetMember> chooseForwardingPeer(const FleetRoster& roster,
                                                const ServiceName& service,
                                                const std::string& requestId,
                                                const std::set<DaemonId>& excluded, Instant now) {
  const std::uint64_t seed =
      stableHash(roster.self().daemon.str(), stableHash(requestId) % kPeersUsed);
  const FleetMember* best = nullptr;
  double bestRank = 0;
  for (const auto& [daemon, peer] : roster.peers()) {
    if (excluded.contains(daemon) || !canForward(peer, service, now)) continue;
    const double capacity = std::max<std::uint32_t>(1, peer.report.self.capacity);
    const double rank = weightedHashRank(daemon.str(), seed, capacity);
    if (best != nullptr && rank >= bestRank) continue;
    best = &peer.report.self;
    bestRank = rank;
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

}  // namespace Hallchute
