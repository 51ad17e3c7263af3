// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_SHARDKEY_H
#define HALLCHUTE_ROUTING_SHARDKEY_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief Identifies a shard: upstreams of a service in one failure domain, granted by one owner
/// daemon.
/// \ingroup Routing
struct ShardKey {
  ServiceName service;
  FailureDomainName domain;
  std::uint32_t index = 0;

  auto operator<=>(const ShardKey&) const = default;
  bool operator==(const ShardKey&) const = default;
  /// \brief Key for ranking owners by rendezvous hashing.
  std::string text() const;
};

/// \brief Maximum average number of upstreams per shard.
/// \ingroup Routing
inline constexpr std::size_t kUpstreamsPerShard = 16;

/// \brief The number of shards for \p upstreams upstreams; at least 1.
/// \ingroup Routing
std::uint32_t shardCount(std::size_t upstreams);

/// \brief The shard of \p upstream among \p count shards. When the count grows by one, only the
/// upstreams assigned to the new shard move.
/// \ingroup Routing
std::uint32_t shardOf(const UpstreamId& upstream, std::uint32_t count);

/// \brief Indices of all shards, in the order in which a request with \p affinity tries them.
/// \ingroup Routing
std::vector<std::uint32_t> shardOrder(std::uint64_t affinity, std::uint32_t count);

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_SHARDKEY_H
