// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_FORWARDINGPEER_H
#define HALLCHUTE_FLEET_FORWARDINGPEER_H

#include <optional>
#include <set>
#include <string>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/FleetReport.h"

namespace Hallchute {

class FleetRoster;

/// \brief Chooses the daemon that passes a request on to a service which this daemon can't reach:
/// a live one whose own path isn't lost. \ingroup Fleet
///
/// Each daemon uses a few others, by a hash of its name and weighted by their capacity: the load of
/// daemons that are cut off spreads over all others, and each needs few connections. Cost: one
/// pass and one hash per daemon; nothing while no path is lost.
/// \returns nothing if no daemon is left.
std::optional<FleetMember> chooseForwardingPeer(const FleetRoster& roster,
                                                const ServiceName& service,
                                                const std::string& requestId,
                                                const std::set<DaemonId>& excluded, Instant now);

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FORWARDINGPEER_H
