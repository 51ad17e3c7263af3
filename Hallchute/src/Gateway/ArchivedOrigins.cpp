// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/ArchivedOrigins.h"

namespace Hallchute {

const VersionClaim* newestComplete(std::span<const ArchivedOrigins> parts) {
  const VersionClaim* newest = nullptr;
  for (const ArchivedOrigins& part : parts) {
    const bool newer = newest == nullptr || part.versions.asOf > newest->asOf;
    if (part.versions.complete && newer) newest = &part.versions;
  }
  return newest;
}

}  // namespace Hallchute
