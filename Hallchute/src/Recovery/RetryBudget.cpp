// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Recovery/RetryBudget.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// What a quiet daemon may retry, so that the first failures after a start are not fatal.
constexpr double kBurst = 50;

}  // namespace

RetryBudget::RetryBudget(double ratio) : ratio_(ratio), level_(kBurst) {}

void RetryBudget::recordFirstAttempt() {
  level_ = std::min(kBurst, level_ + ratio_);
}

bool RetryBudget::tryConsumeRetry() {
  if (level_ < 1) return false;
  level_ -= 1;
  return true;
}

}  // namespace Hallchute
