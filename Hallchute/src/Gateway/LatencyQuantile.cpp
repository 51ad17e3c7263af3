// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/LatencyQuantile.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Hallchute {
namespace {

constexpr double kBucketsPerDecade = 20;

using RealMillis = std::chrono::duration<double, std::milli>;

}  // namespace

void LatencyQuantile::decay(Instant now) {
  const RealMillis elapsed = now - decayedAt_;
  if (elapsed < kDecayStep) return;
  decayedAt_ = now;
  const double factor = std::exp2(-(elapsed / RealMillis(kHalfLife)));
  for (float& count : counts_) count = static_cast<float>(count * factor);
  weight_ *= factor;
}

void LatencyQuantile::record(Millis time, Instant now) {
  decay(now);
  const double ms = std::max(1.0, static_cast<double>(time.count()));
  const auto bucket = static_cast<std::size_t>(std::log10(ms) * kBucketsPerDecade);
  counts_[std::min(bucket, kBuckets - 1)] += 1;
  weight_ += 1;
}

double LatencyQuantile::weight(Instant now) {
  decay(now);
  return weight_;
}

Millis LatencyQuantile::quantile(double q, Instant now) {
  decay(now);
  if (weight_ <= 0) return Millis(0);
  const double targetRank = q * weight_;
  double cumulative = 0;
  std::size_t bucket = 0;
  for (; bucket + 1 < kBuckets; ++bucket) {
    cumulative += counts_[bucket];
    if (cumulative >= targetRank) break;
  }
  const double upper = std::pow(10, static_cast<double>(bucket + 1) / kBucketsPerDecade);
  return Millis(static_cast<Millis::rep>(std::ceil(upper)));
}

}  // namespace Hallchute
