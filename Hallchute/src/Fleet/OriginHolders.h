// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_ORIGINHOLDERS_H
#define HALLCHUTE_FLEET_ORIGINHOLDERS_H

#include <cstddef>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Gateway/ArchiveShards.h"
#include "Hallchute/src/Gateway/StreamOrigin.h"

namespace Hallchute {

class FleetRoster;

/// Daemons of a large fleet that are told of a stream.
inline constexpr std::size_t kOriginHolders = 4;
/// Daemons that are asked for it: more, as the asker may know other daemons than the teller.
inline constexpr std::size_t kOriginHoldersAsked = 6;

/// Shards of the archive in a large fleet: each costs some calls to the store a second while a
/// service has several versions.
inline constexpr std::size_t kArchiveShards = 4;
/// Daemons that archive a shard: one may stand still or be cut off from the store, which the others
/// notice late.
inline constexpr std::size_t kArchiversPerShard = 2;

/// \brief The other live daemons that keep a stream's origin: all in a small fleet, in a larger one
/// the first \p most by a hash of the stream, so that the cost for each daemon doesn't grow with
/// the fleet, and those that archive it. Any daemon finds them without a message. Cost: one
/// pass and one hash per daemon. \ingroup Fleet
std::vector<FleetMember> originHolders(const FleetRoster& roster, StreamKey stream,
                                       std::size_t most, Instant now);

/// \brief The shards of the archive that this daemon writes; none until the fleet is discovered.
///
/// Each shard belongs to the first by a hash among the live daemons that watch the store, each of
/// which writes its own part, so that daemons may differ over who lives. Cost: one pass over the
/// daemons per failure domain. \ingroup Fleet
ArchiveShards archiveShards(const FleetRoster& roster, Instant now);

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_ORIGINHOLDERS_H
