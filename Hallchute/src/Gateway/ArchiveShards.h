// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ARCHIVESHARDS_H
#define HALLCHUTE_GATEWAY_ARCHIVESHARDS_H

#include <cstddef>
#include <cstdint>
#include <set>

#include "Hallchute/src/Gateway/StreamOrigin.h"

namespace Hallchute {

/// \brief The part of all streams that a daemon archives. \ingroup Gateway
struct ArchiveShards {
  /// Into how many shards the streams are divided.
  std::size_t count = 1;
  /// Those that this daemon archives.
  std::set<std::size_t> owned;

  static std::size_t shardOf(StreamKey stream, std::size_t count) {
    return static_cast<std::uint64_t>(stream) % count;
  }
  bool contains(StreamKey stream) const { return owned.contains(shardOf(stream, count)); }
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ARCHIVESHARDS_H
