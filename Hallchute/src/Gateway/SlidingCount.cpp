// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/SlidingCount.h"

#include <algorithm>

namespace Hallchute {
namespace {

constexpr Millis kPartLength{5'000};

std::int64_t partOf(Instant now) {
  return now.time_since_epoch() / kPartLength;
}

}  // namespace

void SlidingCount::add(Instant now) {
  const std::int64_t part = partOf(now);
  const std::int64_t passed = std::min<std::int64_t>(part - current_, kParts);
  for (std::int64_t i = 0; i < passed; ++i) {
    parts_[static_cast<std::size_t>(part - i) % kParts] = 0;
  }
  current_ = std::max(current_, part);
  ++parts_[static_cast<std::size_t>(current_) % kParts];
}

std::uint64_t SlidingCount::sum(Instant now) const {
  std::uint64_t sum = 0;
  const std::int64_t oldest = partOf(now) - static_cast<std::int64_t>(kParts) + 1;
  for (std::int64_t part = oldest; part <= current_; ++part) {
    sum += parts_[static_cast<std::size_t>(part) % kParts];
  }
  return sum;
}

}  // namespace Hallchute
