// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/UpstreamEstimates.h"

#include <algorithm>
#include <cmath>

#include "Hallchute/src/Gateway/UpstreamLoad.h"

namespace Hallchute {
namespace {

/// Weight of the service's mean, in milliseconds of observed processing: a few responses outweigh
/// it, and it prevails again about 5 s after the last one.
constexpr double kPriorMs = 300;
/// Weight of the service's mean pause, in pauses.
constexpr double kPriorPauses = 4;
/// Speed of an upstream that is warming up, relative to the mean of its service, until it has been
/// observed.
constexpr double kColdSpeed = 0.5;
/// Ratio between steps of weights. Finer steps move keys more often, coarser ones load unequal
/// engines unequally.
constexpr double kWeightStep = 1.25;
/// Distance, in steps, at which a weight is replaced: noise of a tenth moves no keys.
constexpr double kWeightHysteresis = 0.8;
/// Bounds of weights: a slow upstream keeps a share of the work, so that it is measured again.
constexpr double kMinWeight = 0.1;
constexpr double kMaxWeight = 10;
/// Units of the reported sums of pauses: thousandths, and microseconds.
constexpr double kPauseUnits = 1'000;
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

}  // namespace

void UpstreamEstimates::begin() {
  for (auto& [service, mean] : means_) mean = Mean{0, 0, 0, 0, mean.workPerMs, mean.pause};
}

void UpstreamEstimates::add(const ServiceName& service, const UpstreamLoad& observed) {
  Mean& mean = means_[service];
  const auto ms = static_cast<double>(observed.recentWorkMs);
  if (observed.recentWorkMs > 0 && observed.recentWork > 0) {
    const double weight = ms / (ms + kPriorMs);
    mean.speeds += weight * static_cast<double>(observed.recentWork) / ms;
    mean.speedWeights += weight;
    mean.workPerMs = mean.speeds / mean.speedWeights;
  }
  if (observed.recentPauses > 0) {
    mean.pauses += static_cast<double>(observed.recentPauses) / kPauseUnits;
    mean.pauseMs += static_cast<double>(observed.recentPauseMicros) / kMicrosPerMs;
    mean.pause = mean.pauseMs / mean.pauses;
  }
}

UpstreamEstimate UpstreamEstimates::estimate(const ServiceName& service,
                                             const UpstreamLoad& observed, bool cold,
                                             double previousWeight) const {
  const auto it = means_.find(service);
  if (it == means_.end() || it->second.workPerMs <= 0) return {0, 0, previousWeight};
  const Mean& mean = it->second;
  const double prior = cold ? kColdSpeed * mean.workPerMs : mean.workPerMs;
  const auto work = static_cast<double>(observed.recentWork);
  const auto ms = static_cast<double>(observed.recentWorkMs);
  const double pauses = static_cast<double>(observed.recentPauses) / kPauseUnits;
  const double pauseMs = static_cast<double>(observed.recentPauseMicros) / kMicrosPerMs;
  UpstreamEstimate estimate;
  estimate.workPerMs = (work + prior * kPriorMs) / (ms + kPriorMs);
  estimate.pauseMs = (pauseMs + mean.pause * kPriorPauses) / (pauses + kPriorPauses);
  estimate.weight = weightOf(estimate.workPerMs / mean.workPerMs, previousWeight);
  return estimate;
}

}  // namespace Hallchute
