// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Admission/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace Hallchute {

void TokenBucket::setRate(double perSecond, Instant now) {
  if (perSecond == perSecond_) return;
  refill(now);
  if (perSecond_ == 0) level_ = perSecond;
  perSecond_ = perSecond;
  level_ = std::min(level_, perSecond_);
}

void TokenBucket::refill(Instant now) {
  const std::chrono::duration<double> passed = now - last_;
  last_ = now;
  level_ = std::min(perSecond_, level_ + passed.count() * perSecond_);
}

Millis TokenBucket::take(double amount, Instant now) {
  if (perSecond_ == 0) return Millis(0);
  refill(now);
  if (level_ < 0) {
    return Millis(std::max<std::int64_t>(1, std::llround(std::ceil(-level_ / perSecond_ * 1000))));
  }
  level_ -= amount;
  return Millis(0);
}

void TokenBucket::giveBack(double amount) {
  if (perSecond_ > 0) level_ = std::min(perSecond_, level_ + amount);
}

}  // namespace Hallchute
