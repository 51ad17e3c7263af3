// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Recovery/RetryBudget.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// Initial and maximum number of retries, so that failures soon after a start can be retried.
constexpr double kBurstRetries = 50;

}  // namespace

RetryBudget::RetryBudget(double ratio) : ratio_(ratio), available_(kBurstRetries) {}

void RetryBudget::recordFirstAttempt() {
  available_ = std::min(kBurstRetries, available_ + ratio_);
}

bool RetryBudget::tryConsumeRetry() {
  if (available_ < 1) return false;
  available_ -= 1;
  return true;
}

}  // namespace Hallchute
