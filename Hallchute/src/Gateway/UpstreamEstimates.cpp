// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/UpstreamEstimates.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Hallchute/src/Gateway/UpstreamLoad.h"

namespace Hallchute {
namespace {

/// Weight of the service's mean, in responses: an unexpected cache miss makes a single response
/// several times as slow, and the mean prevails again some seconds after the last response.
constexpr double kPriorResponses = 12;
/// Weight of the service's mean pause, in pauses.
constexpr double kPriorPauses = 4;
/// Speed of an upstream that is warming up, relative to the mean of its service, until it has been
/// observed.
constexpr double kColdSpeed = 0.5;
/// Report periods, of 200 ms, over which the relative speed is averaged for the weight. Each change
/// of a weight moves keys, whose prefixes are then recomputed: with weights by the current estimate
/// the replay of PlacementTest recomputed 0.19 of the tokens instead of 0.10.
constexpr std::uint32_t kMaxPeriods = 50;
constexpr std::uint32_t kMinPeriods = 10;
/// Ratio between steps of weights. Finer steps move keys more often, coarser ones load unequal
/// engines unequally.
constexpr double kWeightStep = 1.25;
/// Distance, in steps, at which a weight is replaced: noise of a fifth moves no keys.
constexpr double kWeightHysteresis = 1.2;
/// Bounds of weights: a slow upstream keeps a share of the work, so that it is measured again.
constexpr double kMinWeight = 0.1;
constexpr double kMaxWeight = 10;
/// Units of the reported sums: thousandths, and microseconds.
constexpr double kCountUnits = 1'000;
constexpr double kMicrosPerMs = 1'000;

double inSteps(double ratio) {
  return std::log(ratio) / std::log(kWeightStep);
}

double weightOf(double relativeSpeed, double previous) {
  const double bounded = std::clamp(relativeSpeed, kMinWeight, kMaxWeight);
  const double steps = inSteps(bounded);
  if (std::abs(steps - inSteps(previous)) < kWeightHysteresis) return previous;
  return std::pow(kWeightStep, std::round(steps));
}

/// Adds a period's relative speed to the mean.
void averageSpeed(UpstreamEstimate& estimate) {
  estimate.periods = std::min(estimate.periods + 1, kMaxPeriods);
  const double gain = 1.0 / std::max(estimate.periods, kMinPeriods);
  estimate.usualSpeed += gain * (estimate.relativeSpeed - estimate.usualSpeed);
}

}  // namespace

void UpstreamEstimates::begin() {
  for (auto& [service, mean] : means_) {
    const Mean last = std::exchange(mean, Mean());
    mean.workPerMs = last.workPerMs;
    mean.pause = last.pause;
    mean.priorMs = last.priorMs;
  }
}

void UpstreamEstimates::add(const ServiceName& service, const UpstreamLoad& observed) {
  Mean& mean = means_[service];
  if (observed.recentWorkMs > 0 && observed.recentWork > 0 && observed.recentResponses > 0) {
    const auto ms = static_cast<double>(observed.recentWorkMs);
    const double responses = static_cast<double>(observed.recentResponses) / kCountUnits;
    const double weight = responses / (responses + kPriorResponses);
    mean.responses += responses;
    mean.responseMs += ms;
    mean.speeds += weight * static_cast<double>(observed.recentWork) / ms;
    mean.speedWeights += weight;
    mean.workPerMs = mean.speeds / mean.speedWeights;
    mean.priorMs = kPriorResponses * mean.responseMs / mean.responses;
  }
  if (observed.recentPauses > 0) {
    mean.pauses += static_cast<double>(observed.recentPauses) / kCountUnits;
    mean.pauseMs += static_cast<double>(observed.recentPauseMicros) / kMicrosPerMs;
    mean.pause = mean.pauseMs / mean.pauses;
  }
}

UpstreamEstimate UpstreamEstimates::estimate(const ServiceName& service,
                                             const UpstreamLoad& observed, bool cold,
                                             const UpstreamEstimate& previous) const {
  const auto it = means_.find(service);
  if (it == means_.end() || it->second.workPerMs <= 0) return previous;
  const Mean& mean = it->second;
  const double prior = cold ? kColdSpeed * mean.workPerMs : mean.workPerMs;
  const auto work = static_cast<double>(observed.recentWork);
  const auto ms = static_cast<double>(observed.recentWorkMs);
  const double pauses = static_cast<double>(observed.recentPauses) / kCountUnits;
  const double pauseMs = static_cast<double>(observed.recentPauseMicros) / kMicrosPerMs;
  UpstreamEstimate estimate = previous;
  estimate.workPerMs = (work + prior * mean.priorMs) / (ms + mean.priorMs);
  estimate.pauseMs = (pauseMs + mean.pause * kPriorPauses) / (pauses + kPriorPauses);
  estimate.relativeSpeed = estimate.workPerMs / mean.workPerMs;
  averageSpeed(estimate);
  estimate.weight = weightOf(estimate.usualSpeed, previous.weight);
  return estimate;
}

}  // namespace Hallchute
