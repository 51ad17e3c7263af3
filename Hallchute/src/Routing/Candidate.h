// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_CANDIDATE_H
#define HALLCHUTE_ROUTING_CANDIDATE_H

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief An upstream with free capacity, as presented to a policy for one request.
/// \ingroup Routing
struct Candidate {
  /// Index in the owner's upstream table; the value that a policy returns.
  std::size_t slot = 0;
  std::uint64_t idHash = 0;
  std::size_t inFlight = 0;
  /// Prompt and output tokens granted to this upstream and not yet completed.
  std::size_t pendingTokens = 0;
  /// Estimated tokens of this request's prompt that are in the upstream's prefix cache.
  std::size_t cachedTokens = 0;
  /// Cost of computing the uncached tokens. Tokens of frequently used blocks are weighted lower,
  /// because later requests reuse the cached copy.
  double computeCost = 0;
  /// Age of the block that the cache would evict next: the number of prompts the owner has sent
  /// since its last use. Empty while the cache is not full.
  std::optional<std::uint64_t> evictionAge = {};
};

/// \brief Properties of a request that a policy takes into account.
/// \ingroup Routing
struct RoutingRequest {
  std::uint64_t affinity = 0;
  std::size_t promptTokens = 0;
  /// Mean of inFlight over all usable upstreams of the shard, including those at capacity.
  double meanInFlight = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_CANDIDATE_H
