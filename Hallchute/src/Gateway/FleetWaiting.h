// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_FLEETWAITING_H
#define HALLCHUTE_GATEWAY_FLEETWAITING_H

#include <cstddef>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/WaitingLoad.h"

namespace Hallchute {

/// \brief What waits for admission at the other daemons, as last reported. \ingroup Gateway
struct FleetWaiting {
  WaitingLoads loads;
  /// Daemons that may release requests, this one included.
  std::size_t daemons = 1;
  /// Time until what a daemon releases shows in the others' loads.
  Millis reportLag{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_FLEETWAITING_H
