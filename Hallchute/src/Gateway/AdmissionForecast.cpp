// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/AdmissionForecast.h"

#include <algorithm>

#include "Hallchute/src/Gateway/UpstreamTable.h"

namespace Hallchute {
namespace {

/// Requests per slot at which an upstream without prompt tokens counts as full: its slots and a
/// queue. Upstreams don't report the length of their queues; those of plain services held four
/// requests per slot in the deployments that were measured, so that this leaves a margin for
/// requests that reports don't show yet.
constexpr double kFullLoadPerSlot = 4;
/// Prompt length with which an upstream's speed is derived from its predictions: long enough that
/// rounding to whole milliseconds doesn't matter.
constexpr std::uint64_t kProbeTokens = 100'000;

double freeRequests(const UpstreamEntry& entry) {
  const double most = kFullLoadPerSlot * std::max<std::uint32_t>(1, entry.record.slots);
  return std::max(0.0, most - entry.load());
}

/// Prompt tokens per millisecond; 0 without an estimate.
double speedOf(const UpstreamTable& table, const UpstreamEntry& entry, Millis queueDelay) {
  const Millis time = table.predictedFirstEvent(entry, kProbeTokens) - queueDelay;
  if (time <= Millis(0)) return 0;
  return static_cast<double>(kProbeTokens) / static_cast<double>(time.count());
}

}  // namespace

std::optional<ServiceRoom> roomOf(const UpstreamTable& table, const ServiceName& service,
                                  bool countsTokens, Millis target) {
  ServiceRoom sum;
  bool known = false;
  for (const auto& [id, entry] : table.entries()) {
    if (!UpstreamTable::takesRequests(entry, service)) continue;
    if (!countsTokens) {
      known = true;
      sum.room += freeRequests(entry);
      continue;
    }
    const Millis queueDelay = table.predictedQueueDelay(entry);
    const double speed = speedOf(table, entry, queueDelay);
    if (speed <= 0) continue;
    known = true;
    sum.tokensPerMs += speed;
    if (queueDelay >= target) continue;
    sum.openTokensPerMs += speed;
    sum.room += static_cast<double>((target - queueDelay).count()) * speed;
  }
  if (!known) return std::nullopt;
  return sum;
}

std::optional<AdmissionForecast> forecastStart(const UpstreamTable& table,
                                               const AdmissionRequest& request, Instant now) {
  const std::optional<PredictedStart> start =
      predictStart(table, request.criteria, request.promptTokens, now);
  if (!start) return std::nullopt;
  AdmissionForecast forecast;
  if (request.promptTokens == 0) {
    const auto room = roomOf(table, request.criteria.service, false, Millis(0));
    forecast.full = room && room->room < 1;
    return forecast;
  }
  forecast.queueDelay = start->queueDelay;
  forecast.promptTime = start->firstEvent - start->queueDelay;
  if (start->firstEvent <= Millis(0)) return std::nullopt;
  return forecast;
}

}  // namespace Hallchute
