// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Duty/EvidenceTracker.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// Span of the recent evidence, in which a fault that begins late isn't hidden by a good start.
constexpr Millis kWindow{3'000};
/// First events or answers of the previous version from which the window is compared with its own.
constexpr std::uint64_t kMinWindowSamples = 30;
/// Answers of the target before its share may grow, and on each route that has traffic.
constexpr std::uint64_t kMinAnswers = 30;
constexpr std::uint64_t kMinRouteAnswers = 5;
/// Answers of the previous version from which a route has traffic: several times the target's
/// minimum at a share of 0.08.
constexpr std::uint64_t kRouteTraffic = 200;
/// Answers of the previous version from which the target must have answered some.
constexpr std::uint64_t kUnansweredTraffic = 400;
/// While the share grows, caches of the target's further upstreams are cold for a moment.
constexpr SlownessLimit kCanaryLimit{3.5, 3, 20};
constexpr SlownessLimit kGrowthLimit{4, 4, 30};

VersionEvidence difference(const VersionEvidence& total, const VersionEvidence& part) {
  VersionEvidence rest = total;
  rest -= part;
  return rest;
}

}  // namespace

void EvidenceTracker::Scope::add(const VersionEvidence& more, bool isTarget, Millis wallClock) {
  (isTarget ? target : previous) += more;
  if (!isTarget || more.failures == 0) return;
  failures[std::chrono::duration_cast<std::chrono::seconds>(wallClock).count()] += more.failures;
}

void EvidenceTracker::Scope::sample(Millis wallClock) {
  samples.push_back({wallClock, target, previous});
  while (samples.size() > 1 && wallClock - samples.front().wallClock > kWindow) samples.pop_front();
}

/// Failures beyond one a second in the two worst seconds: a crash shows in at most two.
std::uint64_t EvidenceTracker::Scope::burst() const {
  std::uint64_t worst = 0;
  std::uint64_t second = 0;
  for (const auto& [at, count] : failures) {
    std::uint64_t rest = count - 1;
    if (rest > worst) std::swap(rest, worst);
    second = std::max(second, rest);
  }
  return worst + second;
}

VersionFault EvidenceTracker::Scope::fault(bool canary, bool warm) const {
  const VersionEvidence recent = difference(target, samples.front().target);
  const VersionEvidence recentPrevious = difference(previous, samples.front().previous);
  const std::uint64_t discounted = canary ? burst() : 0;
  const bool answered = recentPrevious.answers >= kMinWindowSamples;
  if (failsMore(target, previous, discounted) ||
      failsMore(recent, answered ? recentPrevious : previous, discounted)) {
    return VersionFault::fails;
  }
  if (!warm) return VersionFault::none;
  const SlownessLimit& limit = canary ? kCanaryLimit : kGrowthLimit;
  const VersionEvidence sinceWarm = difference(target, atWarm);
  const VersionEvidence& judged = recent.timed() < sinceWarm.timed() ? recent : sinceWarm;
  const bool timed = recentPrevious.timed() >= kMinWindowSamples;
  // A spike of the whole service's load delays both versions, so the same seconds count too.
  const bool slowNow =
      isSlower(judged, previous, limit) && (!timed || isSlower(judged, recentPrevious, limit));
  const bool slowSinceWarm = canary && isSlower(sinceWarm, previous, limit);
  return slowNow || slowSinceWarm ? VersionFault::slow : VersionFault::none;
}

void EvidenceTracker::fold(const VersionEvidences& sums, Millis wallClock) {
  for (auto it = sums.lower_bound({service_, order_, {}, {}}); it != sums.end(); ++it) {
    const EvidenceKey& key = it->first;
    if (key.service != service_ || key.order != order_) break;
    VersionEvidence& last = last_[key];
    const bool fell = it->second.answers < last.answers || it->second.timed() < last.timed();
    const VersionEvidence more = fell ? VersionEvidence{} : difference(it->second, last);
    last = it->second;
    const bool isTarget = key.version == target_;
    all_.add(more, isTarget, wallClock);
    routes_[key.route].add(more, isTarget, wallClock);
  }
  all_.sample(wallClock);
  for (auto& [route, scope] : routes_) scope.sample(wallClock);
}

void EvidenceTracker::markWarm() {
  if (warm_) return;
  warm_ = true;
  all_.atWarm = all_.target;
  for (auto& [route, scope] : routes_) scope.atWarm = scope.target;
}

FaultFinding EvidenceTracker::fault(bool canary) const {
  if (all_.samples.empty()) return {};
  const VersionFault overall = all_.fault(canary, warm_);
  if (overall != VersionFault::none) return {overall, {}};
  for (const auto& [route, scope] : routes_) {
    const VersionFault found = scope.fault(canary, warm_);
    if (found != VersionFault::none) return {found, route};
  }
  return {};
}

bool EvidenceTracker::enough() const {
  if (all_.target.answers < kMinAnswers) return false;
  return std::all_of(routes_.begin(), routes_.end(), [](const auto& item) {
    const Scope& scope = item.second;
    return scope.previous.answers < kRouteTraffic || scope.target.answers >= kMinRouteAnswers;
  });
}

bool EvidenceTracker::unanswered() const {
  return all_.previous.answers >= kUnansweredTraffic &&
         all_.target.answers + all_.target.timed() < kMinRouteAnswers;
}

}  // namespace Hallchute
