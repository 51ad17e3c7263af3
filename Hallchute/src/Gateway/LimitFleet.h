// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_LIMITFLEET_H
#define HALLCHUTE_GATEWAY_LIMITFLEET_H

#include <cstdint>
#include <vector>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief One daemon's view of the fleet that divides the upstreams' limits. \ingroup Gateway
struct LimitFleet {
  /// Hashes of the daemons that are likely to be running, reachable or not, in ascending order.
  std::vector<std::uint64_t> members;
  /// Position of this daemon in `members`.
  std::size_t self = 0;
  /// False while this daemon doesn't know the others yet, or is leaving: it has no share then.
  bool active = false;
  /// Offset of the fleet's shared wall clock from this host's monotonic clock.
  Millis clockOffset{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_LIMITFLEET_H
