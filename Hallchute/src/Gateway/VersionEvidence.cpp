// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/VersionEvidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Hallchute {
namespace {

/// Upper limit of the first bucket.
constexpr double kFirstLimitMs = 8;
constexpr double kBucketsPerDoubling = 2;

std::size_t bucketOf(Millis time) {
  const auto ms = static_cast<double>(time.count());
  if (ms < kFirstLimitMs) return 0;
  const double bucket = 1 + std::floor(kBucketsPerDoubling * std::log2(ms / kFirstLimitMs));
  return std::min(static_cast<std::size_t>(bucket), VersionEvidence::kBuckets - 1);
}

void subtractCount(std::uint64_t& count, std::uint64_t part) {
  count -= std::min(count, part);
}

}  // namespace

void VersionEvidence::noteFirstEvent(Millis time) {
  firstEvents.resize(kBuckets);
  ++firstEvents[bucketOf(time)];
}

std::uint64_t VersionEvidence::timed() const {
  return std::accumulate(firstEvents.begin(), firstEvents.end(), std::uint64_t{0});
}

VersionEvidence& VersionEvidence::operator+=(const VersionEvidence& more) {
  answers += more.answers;
  failures += more.failures;
  // Counts come from other daemons: longer lists than this release's are cut.
  const std::size_t buckets = std::min(more.firstEvents.size(), kBuckets);
  if (firstEvents.size() < buckets) firstEvents.resize(buckets);
  for (std::size_t i = 0; i < buckets; ++i) firstEvents[i] += more.firstEvents[i];
  return *this;
}

VersionEvidence& VersionEvidence::operator-=(const VersionEvidence& part) {
  subtractCount(answers, part.answers);
  subtractCount(failures, part.failures);
  const std::size_t buckets = std::min(part.firstEvents.size(), firstEvents.size());
  for (std::size_t i = 0; i < buckets; ++i) subtractCount(firstEvents[i], part.firstEvents[i]);
  return *this;
}

void addEvidence(VersionEvidences& total, const VersionEvidences& more) {
  for (const auto& [key, evidence] : more) total[key] += evidence;
}

void subtract(VersionEvidences& total, const VersionEvidences& part) {
  for (const auto& [key, evidence] : part) {
    const auto it = total.find(key);
    if (it != total.end()) it->second -= evidence;
  }
}

}  // namespace Hallchute
