// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_CANDIDATE_H
#define HALLCHUTE_ROUTING_CANDIDATE_H

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief An upstream with room, as a policy sees it for one request.
/// \ingroup Routing
struct Candidate {
  /// Its place in the owner's table; what a policy returns.
  std::size_t slot = 0;
  std::uint64_t idHash = 0;
  std::size_t inFlight = 0;
  /// Prompt and output tokens granted there and not yet done.
  std::size_t pendingTokens = 0;
  /// Tokens of this request's prompt that its cache is taken to hold.
  std::size_t cachedTokens = 0;
  /// What the tokens not held cost to compute, those of blocks in common use counting less: the
  /// copy made here will serve others.
  double computeCost = 0;
  /// How long ago the block that its cache would drop next was used, in prompts sent by the owner;
  /// nothing while its cache has room.
  std::optional<std::uint64_t> evictionAge = {};
};

/// \brief What a policy knows of the request.
/// \ingroup Routing
struct RoutingRequest {
  std::uint64_t affinity = 0;
  std::size_t promptTokens = 0;
  /// Mean of inFlight over all usable upstreams of the shard, full ones included.
  double meanInFlight = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_CANDIDATE_H
