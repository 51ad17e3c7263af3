// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_SLIDINGCOUNT_H
#define HALLCHUTE_GATEWAY_SLIDINGCOUNT_H

#include <array>
#include <cstddef>
#include <cstdint>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Counts events of the last minute. Not thread-safe; no I/O, no clock. \ingroup Gateway
///
/// Twelve counts of five seconds each, so that the window is 55 to 60 s long. Memory: 56 bytes.
class SlidingCount {
 public:
  void add(Instant now);
  std::uint64_t sum(Instant now) const;

 private:
  static constexpr std::size_t kParts = 12;

  std::array<std::uint32_t, kParts> parts_{};
  /// Number of the current part since the clock's epoch.
  std::int64_t current_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_SLIDINGCOUNT_H
