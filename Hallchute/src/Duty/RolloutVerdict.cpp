// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Duty/RolloutVerdict.h"

#include <cmath>

namespace Hallchute {
namespace {

/// Failures below this count prove nothing.
constexpr std::uint64_t kMinFailures = 4;
/// Share of failures below which a version isn't taken for bad.
constexpr double kMinFailureShare = 0.03;
/// A version is bad if it fails this many times as often as the previous one, plus the offset: an
/// outage of upstreams hits the few upstreams of a canary harder than the average.
constexpr double kFailureRatio = 3;
constexpr double kFailureOffset = 0.02;

/// First events of the previous version below which nothing is compared with them.
constexpr std::uint64_t kMinPreviousTimed = 30;
/// Slow first events below this count prove nothing.
constexpr std::uint64_t kMinSlow = 8;
/// Share of slow first events from which a version is slow, plus the multiple of the previous
/// version's.
constexpr double kSlowShare = 0.12;
constexpr double kSlowRatio = 2;
constexpr double kBaselinePercentile = 0.9;

/// Middle of a bucket relative to the first one, in which times differ by half a doubling.
double relativeTime(std::size_t bucket) {
  return std::exp2(static_cast<double>(bucket) / 2);
}

double meanTime(const VersionEvidence& evidence) {
  double sum = 0;
  for (std::size_t i = 0; i < evidence.firstEvents.size(); ++i)
    sum += static_cast<double>(evidence.firstEvents[i]) * relativeTime(i);
  return sum / static_cast<double>(evidence.timed());
}

/// The bucket that holds the 90th percentile.
std::size_t percentileBucket(const VersionEvidence& evidence) {
  const double wanted = kBaselinePercentile * static_cast<double>(evidence.timed());
  double below = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < evidence.firstEvents.size()) {
    below += static_cast<double>(evidence.firstEvents[bucket]);
    if (below >= wanted) break;
    ++bucket;
  }
  return bucket;
}

std::uint64_t countBeyond(const VersionEvidence& evidence, std::size_t bucket) {
  std::uint64_t count = 0;
  for (std::size_t i = bucket + 1; i < evidence.firstEvents.size(); ++i)
    count += evidence.firstEvents[i];
  return count;
}

double shareOf(std::uint64_t part, std::uint64_t all) {
  return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

}  // namespace

std::string_view describe(VersionFault fault) {
  switch (fault) {
    case VersionFault::none:
      return "none";
    case VersionFault::fails:
      return "fails";
    case VersionFault::slow:
      return "slow";
  }
  return "unknown";
}

bool failsMore(const VersionEvidence& target, const VersionEvidence& previous,
               std::uint64_t discounted) {
  if (target.failures < kMinFailures + discounted) return false;
  const double share = shareOf(target.failures - discounted, target.answers);
  const double before = shareOf(previous.failures, previous.answers);
  return share >= kMinFailureShare && share >= kFailureRatio * before + kFailureOffset;
}

bool isSlower(const VersionEvidence& target, const VersionEvidence& previous,
              const SlownessLimit& limit) {
  const std::uint64_t timed = target.timed();
  if (timed < limit.minTimed || previous.timed() < kMinPreviousTimed) return false;
  if (meanTime(target) >= limit.meanRatio * meanTime(previous)) return true;
  const std::size_t slowFrom = percentileBucket(previous) + limit.buckets;
  const std::uint64_t slow = countBeyond(target, slowFrom);
  const double before = shareOf(countBeyond(previous, slowFrom), previous.timed());
  return slow >= kMinSlow && shareOf(slow, timed) >= kSlowShare + kSlowRatio * before;
}

}  // namespace Hallchute
