// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/OriginHolders.h"

#include <algorithm>
#include <utility>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Fleet/FleetRoster.h"

namespace Hallchute {

std::vector<FleetMember> originHolders(const FleetRoster& roster, StreamKey stream,
                                       std::size_t most, Instant now) {
  std::vector<std::pair<std::uint64_t, const FleetMember*>> ranked;
  for (const auto& [daemon, peer] : roster.peers()) {
    if (!peer.alive(now)) continue;
    const std::uint64_t rank = stableHash(daemon.str(), static_cast<std::uint64_t>(stream));
    ranked.emplace_back(rank, &peer.report.self);
  }
  if (!roster.isSmall(now) && ranked.size() > most) {
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(most);
    std::nth_element(ranked.begin(), end, ranked.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    ranked.erase(end, ranked.end());
  }
  std::vector<FleetMember> holders;
  holders.reserve(ranked.size());
  for (const auto& [rank, member] : ranked) holders.push_back(*member);
  return holders;
}

}  // namespace Hallchute
