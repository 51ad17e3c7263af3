// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ADMISSION_SHARDPOLICY_H
#define HALLCHUTE_ADMISSION_SHARDPOLICY_H

#include <cstddef>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Routing/RoutingPolicy.h"

namespace Hallchute {

/// \brief The numbers a shard owner works by; set anew when the settings change.
/// \ingroup Admission
struct ShardPolicy {
  std::size_t maxQueue = 200;
  std::size_t maxInFlightPerUpstream = 16;
  /// An upstream with so many prompt tokens left to compute is granted nothing more.
  std::size_t maxPrefillTokensPerUpstream = 8'000;
  std::size_t organisationInFlight = 1'000;
  double organisationTokensPerSecond = 0;
  std::size_t prefixTokensPerUpstream = 200'000;
  Millis aging{1'000};
  RoutingPolicy choice = PrefixAffinity{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_SHARDPOLICY_H
