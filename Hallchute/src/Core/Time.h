// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_TIME_H
#define HALLCHUTE_CORE_TIME_H

#include <chrono>

namespace Hallchute {

/// \brief A point on the monotonic clock. Decision code is given it and never reads it.
/// \ingroup Core
using Instant = std::chrono::steady_clock::time_point;

/// \brief The resolution of every limit and delay in hallchute.
/// \ingroup Core
using Millis = std::chrono::milliseconds;

}  // namespace Hallchute

#endif  // HALLCHUTE_CORE_TIME_H
