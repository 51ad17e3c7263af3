// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Recovery/RetryBudget.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// What a quiet daemon may retry, so that the first failures after a start are not fatal.
constexpr double kBurstRetries = 50;

}  // namespace

RetryBudget::RetryBudget(double ratio) : ratio_(ratio), available_(kBurstRetries) {}

void RetryBudget::noteFirstAttempt() {
  available_ = std::min(kBurstRetries, available_ + ratio_);
}

bool RetryBudget::takeRetry() {
  if (available_ < 1) return false;
  available_ -= 1;
  return true;
}

}  // namespace Hallchute
