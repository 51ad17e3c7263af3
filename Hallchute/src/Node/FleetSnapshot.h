// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_FLEETSNAPSHOT_H
#define HALLCHUTE_NODE_FLEETSNAPSHOT_H

#include <cstdint>
#include <string>
#include <vector>

#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

/// \brief What a daemon has already, when it asks a peer for more. \ingroup Node
struct SnapshotAsk {
  std::uint64_t settingsVersion = 0;
  std::uint64_t upstreamsVersion = 0;
};

/// \brief What a daemon that doesn't follow the store takes from a peer. \ingroup Node
struct FleetSnapshot {
  std::uint64_t settingsVersion = 0;
  /// As the platform holds them; empty if the asker has them already.
  std::string settingsText;
  /// Rises with the store's revision that `upstreams` are complete to.
  std::uint64_t upstreamsVersion = 0;
  /// All of them; empty if the asker has them already.
  std::vector<UpstreamRecord> upstreams;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_FLEETSNAPSHOT_H
