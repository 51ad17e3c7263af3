// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/FleetClock.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// A report is under way for ms, to a busy host for tens of ms: smaller differences are no step.
constexpr Millis kNoise{100};
/// How long the median must have moved before it is followed: a clock that is set back for some
/// seconds would make the windows before and after wrong.
constexpr Millis kFollowAfter{10'000};

/// The median that is nearest to \p present: of an even number of clocks any value between the
/// middle two is one.
Millis medianNear(Millis present, std::vector<Millis> offsets) {
  std::sort(offsets.begin(), offsets.end());
  const Millis lower = offsets[(offsets.size() - 1) / 2];
  const Millis upper = offsets[offsets.size() / 2];
  return std::clamp(present, lower, upper);
}

}  // namespace

void FleetClock::adjust(std::vector<Millis> offsets, bool starting, Instant now) {
  if (offsets.empty()) return;
  if (!offset_) offset_ = offsets.front();
  const Millis median = medianNear(*offset_, std::move(offsets));
  if (std::chrono::abs(median - *offset_) <= kNoise) {
    elsewhereSince_.reset();
    return;
  }
  if (!elsewhereSince_) elsewhereSince_ = now;
  if (!starting && now - *elsewhereSince_ < kFollowAfter) return;
  offset_ = median;
  elsewhereSince_.reset();
}

Millis FleetClock::at(Instant now) const {
  return std::chrono::duration_cast<Millis>(now.time_since_epoch()) + offset();
}

}  // namespace Hallchute
