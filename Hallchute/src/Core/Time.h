// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_TIME_H
#define HALLCHUTE_CORE_TIME_H

#include <chrono>

namespace Hallchute {

/// \brief A time on the monotonic clock, as clockNow() reads it. Decision code takes the current
/// time as a parameter and never reads the clock. \ingroup Core
using Instant = std::chrono::steady_clock::time_point;

/// \brief The unit of all limits and delays in hallchute.
/// \ingroup Core
using Millis = std::chrono::milliseconds;

}  // namespace Hallchute

#endif  // HALLCHUTE_CORE_TIME_H
