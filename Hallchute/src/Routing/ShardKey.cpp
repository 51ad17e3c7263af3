// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Routing/ShardKey.h"

#include <algorithm>
#include <numeric>

#include "Hallchute/src/Core/StableHash.h"

namespace Hallchute {
namespace {

std::uint64_t rendezvousWeight(std::string_view text, std::uint32_t index) {
  return stableHash(text, stableHash(std::to_string(index)));
}

}  // namespace

std::string ShardKey::text() const {
  return service.str() + "/" + domain.str() + "/" + std::to_string(index);
}

std::uint32_t shardCount(std::size_t upstreams) {
  const std::size_t count = (upstreams + kUpstreamsPerShard - 1) / kUpstreamsPerShard;
  return static_cast<std::uint32_t>(std::max<std::size_t>(count, 1));
}

std::uint32_t shardOf(const UpstreamId& upstream, std::uint32_t count) {
  std::uint32_t best = 0;
  std::uint64_t bestWeight = 0;
  for (std::uint32_t index = 0; index < count; ++index) {
    const std::uint64_t weight = rendezvousWeight(upstream.str(), index);
    if (index > 0 && weight <= bestWeight) continue;
    best = index;
    bestWeight = weight;
  }
  return best;
}

std::vector<std::uint32_t> shardOrder(std::uint64_t affinity, std::uint32_t count) {
  std::vector<std::uint32_t> order(count);
  std::iota(order.begin(), order.end(), 0U);
  const std::string key = std::to_string(affinity);
  std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
    return rendezvousWeight(key, a) > rendezvousWeight(key, b);
  });
  return order;
}

}  // namespace Hallchute
