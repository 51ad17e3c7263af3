// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_RANDOMSOURCE_H
#define HALLCHUTE_TEST_RANDOMSOURCE_H

#include <cstddef>
#include <cstdint>

namespace Hallchute {

/// Random numbers that are the same in each run.
class RandomSource {
 public:
  double next() {
    state_ = state_ * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
    return static_cast<double>(state_ >> 11U) / static_cast<double>(1ULL << 53U);
  }
  std::size_t below(std::size_t bound) {
    return static_cast<std::size_t>(next() * static_cast<double>(bound));
  }

 private:
  std::uint64_t state_ = 42;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_RANDOMSOURCE_H
