// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_SLOTCOORDINATOR_H
#define HALLCHUTE_FLEET_SLOTCOORDINATOR_H

#include <optional>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/FleetReport.h"

namespace Hallchute {

class FleetRoster;

/// \brief The live daemon that grants an upstream's slots to the fleet, by a hash weighted by the
/// hosts' capacities; any daemon finds it without a message. Nothing if it is this daemon.
/// \param leaving whether this daemon is shutting down, so that the others don't count on it.
/// Cost: one pass and one hash per daemon. \ingroup Fleet
std::optional<FleetMember> slotCoordinator(const FleetRoster& roster, const UpstreamId& upstream,
                                           bool leaving, Instant now);

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_SLOTCOORDINATOR_H
