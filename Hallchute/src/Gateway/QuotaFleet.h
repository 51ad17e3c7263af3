// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_QUOTAFLEET_H
#define HALLCHUTE_GATEWAY_QUOTAFLEET_H

#include <cstddef>
#include <optional>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The daemons that spend the same quotas, as one of them sees the others. \ingroup Gateway
struct QuotaFleet {
  /// Those that are heard of, this one included.
  std::size_t heard = 1;
  /// Of those that are likely to run, the part that is heard of: above 0, at most 1.
  double liveFraction = 1;
  /// One daemon's share of the fleet: what it may hold of a quota whose earlier use it doesn't
  /// know. Nothing while the size of the fleet isn't known.
  std::optional<double> ownShare;
  /// The others have not been met yet: each daemon spends its own share, and what others spend
  /// comes out of theirs.
  bool discovering = false;
  /// How long that takes yet at most.
  Millis discoveryTimeLeft{0};
  /// How long what one daemon spends takes to be known to all.
  Millis reportLag{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_QUOTAFLEET_H
