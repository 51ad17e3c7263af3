// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ARCHIVEDORIGINS_H
#define HALLCHUTE_GATEWAY_ARCHIVEDORIGINS_H

#include <cstdint>
#include <span>
#include <vector>

#include "Hallchute/src/Gateway/StreamOrigin.h"
#include "Hallchute/src/Gateway/VersionClaim.h"

namespace Hallchute {

/// \brief What one daemon keeps of streams in the platform's store, so that it outlives all
/// daemons. \ingroup Gateway
struct ArchivedOrigins {
  DaemonId writer;
  /// Of the stored object; 0 if there is none yet.
  std::uint64_t revision = 0;
  VersionClaim versions;
  /// Streams of services that had several versions, or may have had.
  std::vector<StreamOrigin> streams;
};

/// \brief The complete history of versions that reaches the newest revision; null if there is none.
/// \ingroup Gateway
const VersionClaim* newestComplete(std::span<const ArchivedOrigins> parts);

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ARCHIVEDORIGINS_H
