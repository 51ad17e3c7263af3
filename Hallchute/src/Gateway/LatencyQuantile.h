// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_LATENCYQUANTILE_H
#define HALLCHUTE_GATEWAY_LATENCYQUANTILE_H

#include <array>
#include <cstddef>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Quantiles of recent durations, from a histogram whose counts decay with time. Not
/// thread-safe; no I/O, no clock. \ingroup Gateway
///
/// Logarithmic buckets from 1 ms to 100 s, 20 per decade, so that a quantile is at most 13% too
/// high. Counts halve in kHalfLife. Memory: 400 bytes. Cost: one pass over the buckets for a
/// quantile, and for a record at most once per kDecayStep.
class LatencyQuantile {
 public:
  void record(Millis time, Instant now);
  /// \brief The upper bound of the bucket that contains the \p q quantile; 0 if empty.
  Millis quantile(double q, Instant now);
  /// \brief The decayed number of durations.
  double weight(Instant now);

  /// Long enough for twenty samples on a daemon that gets one request in four seconds.
  static constexpr Millis kHalfLife{60'000};
  /// Counts are multiplied at most this often.
  static constexpr Millis kDecayStep{1'000};

 private:
  static constexpr std::size_t kBuckets = 100;

  void decay(Instant now);

  std::array<float, kBuckets> counts_{};
  double weight_ = 0;
  Instant decayedAt_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_LATENCYQUANTILE_H
