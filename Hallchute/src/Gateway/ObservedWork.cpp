// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/ObservedWork.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "Hallchute/src/Gateway/UpstreamLoad.h"

namespace Hallchute {
namespace {

/// Units of the reported counts: a daemon's share of an upstream's responses may be below one.
constexpr double kCountUnits = 1'000;
constexpr double kMicrosPerMs = 1'000;

std::uint64_t rounded(double value) {
  return static_cast<std::uint64_t>(std::llround(value));
}

}  // namespace

double ObservedWork::decayAt(Instant now) const {
  const std::chrono::duration<double, std::milli> age = std::max(Instant::duration(0), now - at_);
  return std::exp(-age.count() / static_cast<double>(kTimeConstant.count()));
}

void ObservedWork::decay(Instant now) {
  const double factor = decayAt(now);
  at_ = std::max(at_, now);
  work_ *= factor;
  workMs_ *= factor;
  responses_ *= factor;
  pauses_ *= factor;
  pauseMs_ *= factor;
}

void ObservedWork::addWork(double work, Millis time, Instant now) {
  decay(now);
  work_ += work;
  workMs_ += static_cast<double>(time.count());
  ++responses_;
}

void ObservedWork::addPauses(double pauses, Millis time, Instant now) {
  decay(now);
  pauses_ += pauses;
  pauseMs_ += static_cast<double>(time.count());
}

void ObservedWork::writeTo(UpstreamLoad& load, Instant now) const {
  const double factor = decayAt(now);
  load.recentWork = rounded(work_ * factor);
  load.recentWorkMs = rounded(workMs_ * factor);
  load.recentResponses = rounded(responses_ * factor * kCountUnits);
  load.recentPauses = rounded(pauses_ * factor * kCountUnits);
  load.recentPauseMicros = rounded(pauseMs_ * factor * kMicrosPerMs);
}

}  // namespace Hallchute
