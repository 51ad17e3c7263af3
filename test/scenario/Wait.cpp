// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/scenario/Wait.h"

#include <stdexcept>
#include <thread>

namespace Scenario {

Hallchute::Millis waitFor(const std::string& what, Hallchute::Millis limit,
                          const std::function<bool()>& condition) {
  using Clock = std::chrono::steady_clock;
  constexpr Hallchute::Millis kPoll{10};
  const auto start = Clock::now();
  for (;;) {
    if (condition()) return std::chrono::duration_cast<Hallchute::Millis>(Clock::now() - start);
    if (Clock::now() - start >= limit) {
      throw std::runtime_error("waited " + std::to_string(limit.count()) + " ms for " + what);
    }
    std::this_thread::sleep_for(kPoll);
  }
}

}  // namespace Scenario
