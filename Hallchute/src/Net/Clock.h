// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_CLOCK_H
#define HALLCHUTE_NET_CLOCK_H

#include <cstdint>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The monotonic clock, for adapters and the daemon: decision code is given the time.
/// \ingroup Net
inline Instant clockNow() {
  return std::chrono::steady_clock::now();
}

/// \brief Wall clock, ms since 1970: for names and records that outlive a process, never to decide.
/// \ingroup Net
inline std::int64_t wallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_CLOCK_H
