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

/// \brief An upstream as its shard's owner knows it.
/// \ingroup Admission
struct OwnedUpstream {
  OwnedUpstream(UpstreamId upstream, std::uint64_t hash, std::size_t cacheTokens)
      : id(std::move(upstream)), idHash(hash), prefixes(cacheTokens) {}

  UpstreamId id;
  std::uint64_t idHash;
  PrefixIndex prefixes;
  std::size_t inFlight = 0;
  std::size_t pendingTokens = 0;
  /// Prompt tokens granted there whose first answer token has not come yet.
  std::size_t prefillTokens = 0;
  /// Leaves or has left: nothing new is granted there.
  bool leaving = false;
  /// After failures nothing is granted before this time, then one request probes.
  Instant shunnedUntil{};
  std::uint32_t failures = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_OWNEDUPSTREAM_H
