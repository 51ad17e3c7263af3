// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/HedgePolicy.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// One request in twenty waits longer, so that a bound of some percent is spent on the slowest.
constexpr double kDelayQuantile = 0.95;
/// With fewer, a 95th percentile is no more than the slowest one.
constexpr double kMinSamples = 20;
constexpr double kPercent = 100;

}  // namespace

std::string_view describe(HedgeVerdict verdict) {
  switch (verdict) {
    case HedgeVerdict::hedge:
      return "hedge";
    case HedgeVerdict::noUpstream:
      return "noUpstream";
    case HedgeVerdict::needsSlot:
      return "needsSlot";
    case HedgeVerdict::requestsWait:
      return "requestsWait";
    case HedgeVerdict::overloaded:
      return "overloaded";
    case HedgeVerdict::percent:
      return "percent";
  }
  return "";
}

/// Routes come and go with the settings: those without recent requests make room for new ones.
HedgePolicy::RouteTraffic& HedgePolicy::traffic(std::string_view route, Instant now) {
  const auto known = routes_.find(route);
  if (known != routes_.end()) return known->second;
  if (routes_.size() >= kMaxRoutes) {
    std::erase_if(routes_, [&](auto& entry) { return entry.second.requests.sum(now) == 0; });
  }
  if (routes_.size() >= kMaxRoutes) routes_.erase(routes_.begin());
  return routes_[std::string(route)];
}

void HedgePolicy::noteRequest(std::string_view route, Instant now) {
  if (enabled()) traffic(route, now).requests.add(now);
}

void HedgePolicy::noteFirstData(std::string_view route, Millis time, Instant now) {
  if (enabled()) traffic(route, now).firstData.record(time, now);
}

std::optional<Millis> HedgePolicy::delay(std::string_view route, Instant now) {
  if (!enabled()) return std::nullopt;
  LatencyQuantile& firstData = traffic(route, now).firstData;
  if (firstData.weight(now) < kMinSamples) return std::nullopt;
  return std::max(limits_.minDelay, firstData.quantile(kDelayQuantile, now));
}

HedgeVerdict HedgePolicy::decide(std::string_view route, const HedgeConditions& conditions,
                                 Instant now) {
  if (!conditions.hasUpstream) return HedgeVerdict::noUpstream;
  if (conditions.needsSlot) return HedgeVerdict::needsSlot;
  if (conditions.requestsWait) return HedgeVerdict::requestsWait;
  if (conditions.predictedFirstEvent > conditions.objective) return HedgeVerdict::overloaded;
  const auto requests = static_cast<double>(requestCount(route, now));
  const auto hedges = static_cast<double>(hedgeCount(route, now) + 1);
  const bool withinPercent = hedges * kPercent <= limits_.percent * requests;
  return withinPercent ? HedgeVerdict::hedge : HedgeVerdict::percent;
}

void HedgePolicy::noteHedge(std::string_view route, Instant now) {
  traffic(route, now).hedges.add(now);
}

std::uint64_t HedgePolicy::requestCount(std::string_view route, Instant now) {
  return traffic(route, now).requests.sum(now);
}

std::uint64_t HedgePolicy::hedgeCount(std::string_view route, Instant now) {
  return traffic(route, now).hedges.sum(now);
}

}  // namespace Hallchute
