// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/FleetClock.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// Report latency is milliseconds, tens of milliseconds to a busy host: smaller offsets aren't a
/// clock step.
constexpr Millis kClockTolerance{100};
/// How long the median must differ before the clock steps: following a host clock that is wrong for
/// only a few seconds would misplace the usage windows before and after.
constexpr Millis kStepConfirmation{10'000};

/// Returns the median nearest to \p current: with an even number of clocks, any value between the
/// middle two is a median.
Millis nearestMedian(Millis current, std::vector<Millis> offsets) {
  std::sort(offsets.begin(), offsets.end());
  const Millis lower = offsets[(offsets.size() - 1) / 2];
  const Millis upper = offsets[offsets.size() / 2];
  return std::clamp(current, lower, upper);
}

}  // namespace

void FleetClock::adjust(std::vector<Millis> offsets, bool starting, Instant now) {
  if (offsets.empty()) return;
  if (!offset_) offset_ = offsets.front();
  const Millis median = nearestMedian(*offset_, std::move(offsets));
  if (std::chrono::abs(median - *offset_) <= kClockTolerance) {
    divergedSince_.reset();
    return;
  }
  if (!divergedSince_) divergedSince_ = now;
  if (!starting && now - *divergedSince_ < kStepConfirmation) return;
  offset_ = median;
  divergedSince_.reset();
}

Millis FleetClock::at(Instant now) const {
  return std::chrono::duration_cast<Millis>(now.time_since_epoch()) + offset();
}

}  // namespace Hallchute
