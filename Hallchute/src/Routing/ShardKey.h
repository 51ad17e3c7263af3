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

/// \brief Upstreams of a service in a failure domain that one owner daemon hands out.
/// \ingroup Routing
struct ShardKey {
  ServiceName service;
  DomainName domain;
  std::uint32_t index = 0;

  auto operator<=>(const ShardKey&) const = default;
  bool operator==(const ShardKey&) const = default;
  /// \brief The text that rendezvous hashing ranks owners by.
  std::string text() const;
};

/// \brief Upstreams that one shard is meant to hold.
/// \ingroup Routing
inline constexpr std::size_t kUpstreamsPerShard = 16;

/// \brief The number of shards for \p upstreams upstreams; at least 1.
/// \ingroup Routing
std::uint32_t shardCount(std::size_t upstreams);

/// \brief The shard of \p upstream among \p count. When the count grows by one, only the upstreams
/// of the new shard move.
/// \ingroup Routing
std::uint32_t shardOf(const UpstreamId& upstream, std::uint32_t count);

/// \brief All shards in the order in which a request with \p affinity tries them.
/// \ingroup Routing
std::vector<std::uint32_t> shardOrder(std::uint64_t affinity, std::uint32_t count);

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_SHARDKEY_H
