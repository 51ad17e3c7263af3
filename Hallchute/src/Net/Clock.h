// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_CLOCK_H
#define HALLCHUTE_NET_CLOCK_H

#include <time.h>

#include <cstdint>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Monotonic time, for adapters and the daemon. Decision logic takes the time as a
/// parameter. \ingroup Net
///
/// Counts the time for which the host is suspended, as callers, leases and peers go on meanwhile;
/// std::chrono::steady_clock doesn't.
inline Instant clockNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

/// \brief Wall-clock time in ms since the Unix epoch, for names and for records that outlive the
/// process. Not for decisions.
/// \ingroup Net
inline std::int64_t wallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_CLOCK_H
