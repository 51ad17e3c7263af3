// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_FLEETSNAPSHOT_H
#define HALLCHUTE_NODE_FLEETSNAPSHOT_H

#include <cstdint>
#include <string>
#include <vector>

#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

/// \brief The versions that a daemon has when it requests newer ones from a peer. \ingroup Node
struct SnapshotRequest {
  std::uint64_t settingsVersion = 0;
  std::uint64_t upstreamsVersion = 0;
};

/// \brief What a daemon that doesn't watch the store receives from a peer. \ingroup Node
struct FleetSnapshot {
  std::uint64_t settingsVersion = 0;
  /// In the platform's format; empty if the requester has this version.
  std::string settingsText;
  /// The store's revision up to which `upstreams` are complete.
  std::uint64_t upstreamsVersion = 0;
  /// The complete list; empty if the requester has this version.
  std::vector<UpstreamRecord> upstreams;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_FLEETSNAPSHOT_H
