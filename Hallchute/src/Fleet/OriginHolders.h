// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_ORIGINHOLDERS_H
#define HALLCHUTE_FLEET_ORIGINHOLDERS_H

#include <cstddef>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Gateway/StreamOrigin.h"

namespace Hallchute {

class FleetRoster;

/// Daemons of a large fleet that are told of a stream.
inline constexpr std::size_t kOriginHolders = 4;
/// Daemons that are asked for it: more, as the asker may know other daemons than the teller.
inline constexpr std::size_t kOriginHoldersAsked = 6;

/// \brief The other live daemons that keep a stream's origin: all in a small fleet, in a larger one
/// the first \p most by a hash of the stream, so that the cost for each daemon doesn't grow with
/// the fleet. Any daemon finds them without a message. Cost: one pass and one hash per daemon.
/// \ingroup Fleet
std::vector<FleetMember> originHolders(const FleetRoster& roster, StreamKey stream,
                                       std::size_t most, Instant now);

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_ORIGINHOLDERS_H
