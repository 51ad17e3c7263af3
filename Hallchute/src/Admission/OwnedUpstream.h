// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ADMISSION_OWNEDUPSTREAM_H
#define HALLCHUTE_ADMISSION_OWNEDUPSTREAM_H

#include <cstddef>
#include <cstdint>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Routing/PrefixIndex.h"

namespace Hallchute {

/// \brief The shard owner's state of one upstream.
/// \ingroup Admission
struct OwnedUpstream {
  OwnedUpstream(UpstreamId upstream, std::uint64_t hash, std::size_t cacheTokens)
      : id(std::move(upstream)), idHash(hash), prefixes(cacheTokens) {}

  UpstreamId id;
  std::uint64_t idHash;
  PrefixIndex prefixes;
  std::size_t inFlight = 0;
  std::size_t pendingTokens = 0;
  /// Uncached prompt tokens of granted requests that have not produced their first token yet.
  std::size_t prefillTokens = 0;
  /// Draining or gone: no new grants.
  bool draining = false;
  /// After a failure there are no grants before this time, and then one at a time until a request
  /// finishes.
  Instant ejectedUntil{};
  std::uint32_t consecutiveFailures = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_OWNEDUPSTREAM_H
