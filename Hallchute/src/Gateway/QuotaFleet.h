// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_QUOTAFLEET_H
#define HALLCHUTE_GATEWAY_QUOTAFLEET_H

#include <cstddef>
#include <optional>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief One daemon's view of the fleet that shares the quotas. \ingroup Gateway
struct QuotaFleet {
  /// Daemons whose reports arrive, including this one.
  std::size_t liveDaemons = 1;
  /// Fraction of the presumably running daemons whose reports arrive, in (0, 1].
  double liveFraction = 1;
  /// One daemon's share of the fleet, and so of a quota whose earlier use is unknown to it. Empty
  /// while the fleet size is unknown.
  std::optional<double> ownShare;
  /// Peer discovery is in progress: each daemon spends its own share, and the spending of peers is
  /// charged to their shares.
  bool discovering = false;
  /// Upper bound on the remaining discovery time.
  Millis discoveryTimeLeft{0};
  /// Time until the spending of one daemon has been reported to all others.
  Millis reportLag{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_QUOTAFLEET_H
