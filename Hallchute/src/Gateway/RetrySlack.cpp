// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/RetrySlack.h"

#include <algorithm>

namespace Hallchute {

void RetrySlack::setSharers(std::size_t daemons, Instant now) {
  if (daemons == sharers()) return;
  spans_.push_back({now, daemons});
  while (spans_.size() > 1 && spans_[1].start < now - kMemory) spans_.pop_front();
}

std::chrono::duration<double> RetrySlack::earned(Instant from, Instant to) const {
  std::chrono::duration<double> sum{0};
  Instant end = to;
  for (auto span = spans_.rbegin(); span != spans_.rend() && end > from; ++span) {
    const Instant start = std::max(from, span->start);
    if (span->sharers > 0 && start < end) {
      sum += std::chrono::duration<double>(end - start) / static_cast<double>(span->sharers);
    }
    end = std::min(end, span->start);
  }
  return sum;
}

}  // namespace Hallchute
