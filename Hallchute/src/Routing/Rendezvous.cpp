// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Routing/Rendezvous.h"

#include <algorithm>
#include <cstdint>

#include "Hallchute/src/Core/StableHash.h"

namespace Hallchute {

std::vector<DaemonId> rankOwners(std::string_view key, std::span<const DaemonId> members) {
  struct Ranked {
    std::uint64_t weight;
    DaemonId member;
  };
  const std::uint64_t seed = stableHash(key);
  std::vector<Ranked> ranked;
  ranked.reserve(members.size());
  for (const DaemonId& member : members) ranked.push_back({stableHash(member.str(), seed), member});
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return a.weight != b.weight ? a.weight > b.weight : a.member < b.member;
  });
  std::vector<DaemonId> order;
  order.reserve(ranked.size());
  for (Ranked& entry : ranked) order.push_back(std::move(entry.member));
  return order;
}

}  // namespace Hallchute
