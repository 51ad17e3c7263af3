// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ARCHIVEEVIDENCE_H
#define HALLCHUTE_GATEWAY_ARCHIVEEVIDENCE_H

#include <optional>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/StreamOrigin.h"
#include "Hallchute/src/Gateway/VersionClaim.h"

namespace Hallchute {

/// \brief What the platform's store tells about a stream. \ingroup Gateway
struct ArchiveEvidence {
  /// When the first of the calls that it comes from began; each call returns the store's state at
  /// some time after that.
  Instant readAt{};
  /// Whether the store answered the first call.
  bool answered = false;
  /// All that is archived of the stream, which should be one origin at most.
  std::vector<StreamOrigin> streams;
  /// The versions up to the time of the read; nothing if they are unknown.
  std::optional<VersionClaim> versions;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ARCHIVEEVIDENCE_H
