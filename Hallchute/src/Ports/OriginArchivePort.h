// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_ORIGINARCHIVEPORT_H
#define HALLCHUTE_PORTS_ORIGINARCHIVEPORT_H

#include <absl/status/statusor.h>

#include <cstdint>
#include <vector>

#include "Hallchute/src/Gateway/ArchivedOrigins.h"

namespace Hallchute {

/// \brief The archive of streams in the platform's store, and the software versions in its
/// directory of upstreams. \ingroup Ports
///
/// Calls block; thread-safe. Each read returns the newest state, never a stale copy. Errors:
/// `Unavailable` if the call had no effect, `Unknown` if it may have had one.
class OriginArchivePort {
 public:
  OriginArchivePort() = default;
  OriginArchivePort(const OriginArchivePort&) = delete;
  OriginArchivePort& operator=(const OriginArchivePort&) = delete;
  virtual ~OriginArchivePort() = default;

  virtual absl::StatusOr<std::vector<ArchivedOrigins>> read() = 0;
  /// \brief Creates or replaces the writer's part. `Aborted` if it has another revision. \returns
  /// the new revision.
  virtual absl::StatusOr<std::uint64_t> write(const ArchivedOrigins& part) = 0;
  /// \brief The versions that are listed now; `complete` isn't set.
  virtual absl::StatusOr<VersionClaim> listVersions() = 0;
  /// \brief The versions of all entries that changed after \p revision; `complete` isn't set.
  /// `OutOfRange` if the store no longer has these changes.
  virtual absl::StatusOr<VersionClaim> versionsSince(std::uint64_t revision) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_ORIGINARCHIVEPORT_H
