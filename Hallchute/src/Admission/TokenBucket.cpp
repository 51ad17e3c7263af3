// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Admission/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace Hallchute {

void TokenBucket::setRate(double perSecond, Instant now) {
  if (perSecond == tokensPerSecond_) return;
  refill(now);
  if (tokensPerSecond_ == 0) available_ = perSecond;
  tokensPerSecond_ = perSecond;
  available_ = std::min(available_, tokensPerSecond_);
}

void TokenBucket::refill(Instant now) {
  const std::chrono::duration<double> passed = now - lastRefill_;
  lastRefill_ = now;
  available_ = std::min(tokensPerSecond_, available_ + passed.count() * tokensPerSecond_);
}

Millis TokenBucket::take(double amount, Instant now) {
  if (tokensPerSecond_ == 0) return Millis(0);
  refill(now);
  if (available_ < 0) {
    return Millis(
        std::max<std::int64_t>(1, std::llround(std::ceil(-available_ / tokensPerSecond_ * 1000))));
  }
  available_ -= amount;
  return Millis(0);
}

void TokenBucket::refund(double amount) {
  if (tokensPerSecond_ > 0) available_ = std::min(tokensPerSecond_, available_ + amount);
}

}  // namespace Hallchute
