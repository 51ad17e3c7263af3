// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/QuotaLedger.h"

#include <algorithm>
#include <cmath>

#include "Hallchute/src/Gateway/GatewaySettings.h"

namespace Hallchute {
namespace {

/// Minimum retry delay of a refusal: an earlier retry would be refused again.
constexpr double kMinRetryAfterMs = 50;
/// Fraction of the tolerance that the buckets of the whole fleet hold at its start. All daemons may
/// restart twice within a window, so the tolerance must cover two initial levels and the overdraft
/// from delayed reports. In a virtual-time test, fleets of 1 to 77 daemons that restart twice under
/// a demand of 2.5 times the quota admit at most 9.8 seconds' worth of the rate in a window that
/// allows 10.1.
constexpr double kInitialLevelTolerance = 0.25;
/// Time for which daemons spend without reporting before they are considered unreachable.
constexpr double kFailureDetectionS = 1.0;
/// Time constant of the peers' average spending rate; it spans several reports.
constexpr double kSpendRateTimeConstantS = 2.0;
/// Maximum assumed ratio of demand to spending. Demand peaks reach six times an organisation's
/// usual rate, about three times its quota, and refused callers retry.
constexpr double kMaxDemandPerSpend = 4.0;
/// Fraction of the tolerance reserved for delayed reports; the rest covers restarts and network
/// partitions.
constexpr double kReportLagTolerance = 0.5;
/// Same fraction in the first window after a start, when the overdraft from before the start is
/// unknown. With 0.5, the fleets of the test at kInitialLevelTolerance admit up to 10.7 seconds'
/// worth.
constexpr double kReportLagToleranceAtStart = 0.1;
/// Buckets are refilled several times a second; a longer interval means that the process was
/// suspended or held up.
constexpr double kPauseS = 0.6;
/// Time within which the reports on a pause arrive.
constexpr double kPauseReportsS = 0.5;
/// Time constant of the average demand at this daemon: long enough that a single request doesn't
/// dominate the average, short enough to follow a step in demand.
constexpr double kDemandTimeConstantS = 2.0;

/// Adds an amount to an exponentially decaying average rate per second.
void addToDecayingRate(double& rate, Instant& updated, double timeConstantS, double amount,
                       Instant now) {
  const std::chrono::duration<double> elapsed = now - updated;
  updated = now;
  rate *= std::exp(-elapsed.count() / timeConstantS);
  rate += amount / timeConstantS;
}

}  // namespace

void QuotaLedger::refill(Bucket& bucket, Instant now) const {
  const std::chrono::duration<double> elapsed = now - bucket.refilled;
  bucket.refilled = now;
  bucket.level += elapsed.count() * bucket.rate * fleet_.liveFraction;
  if (elapsed.count() > kPauseS) {
    bucket.pauseRefill = std::max(0.0, bucket.level - bucket.burst);
    bucket.pauseEnded = now;
  }
  bucket.level = std::min(bucket.burst, bucket.level);
}

QuotaLedger::Bucket& QuotaLedger::bucketOf(const GatewayOrganisation& organisation, Instant now) {
  Bucket& bucket = buckets_[organisation.name];
  if (!bucket.initialised) {
    bucket = {0, organisation.rate, organisation.burst, started_, true};
    bucket.level = initialLevel(bucket);
    refill(bucket, now);
    // The time since the start was no pause.
    bucket.pauseRefill = 0;
    return bucket;
  }
  refill(bucket, now);
  if (bucket.rate != organisation.rate || bucket.burst != organisation.burst) {
    // Raising the burst adds the difference to the level at once; lowering it caps the level at
    // once.
    bucket.level += std::max(0.0, organisation.burst - bucket.burst);
    bucket.rate = organisation.rate;
    bucket.burst = organisation.burst;
    bucket.level = std::min(bucket.level, bucket.burst);
  }
  return bucket;
}

void QuotaLedger::setOrganisations(std::span<const GatewayOrganisation> organisations,
                                   Instant now) {
  for (const GatewayOrganisation& organisation : organisations) {
    if (organisation.rate > 0) bucketOf(organisation, now);
  }
}

double QuotaLedger::allowedOverdraft(const Bucket& bucket) const {
  const std::chrono::duration<double> window = tolerance_.window;
  return tolerance_.fraction * (bucket.rate * window.count() + bucket.burst) + tolerance_.slack;
}

double QuotaLedger::initialLevel(const Bucket& bucket) const {
  const double fleetLevel =
      std::min(bucket.burst, allowedOverdraft(bucket) * kInitialLevelTolerance);
  return fleetLevel * fleet_.ownShare.value_or(0);
}

double QuotaLedger::expectedUnreported(const Bucket& bucket, Instant now) const {
  // Local demand is a noisy estimate when there are few requests. Reported spending is more
  // accurate, but lower than the demand while the quota limits it.
  const double fromOwnDemand = bucket.demand * static_cast<double>(fleet_.liveDaemons);
  const double fromPeerSpend = bucket.peerSpendRate * kMaxDemandPerSpend;
  const std::chrono::duration<double> lag = fleet_.liveDaemons > 1 ? fleet_.reportLag : Millis(0);
  const double demand = std::min(fromOwnDemand, fromPeerSpend) * lag.count();
  const bool starting = now - started_ < tolerance_.window;
  const double fraction = starting ? kReportLagToleranceAtStart : kReportLagTolerance;
  return std::max(0.0, demand - allowedOverdraft(bucket) * fraction);
}

/// Time for a bucket to gain an amount. During discovery in a fleet of unknown size the refill rate
/// is close to zero; an estimate from this rate alone is up to a hundred times too long, so it is
/// bounded by the remaining discovery time plus the time at the full rate.
double QuotaLedger::refillTimeMs(const Bucket& bucket, double amount) const {
  constexpr double kMsPerS = 1'000;
  const double atFullRate = amount / bucket.rate * kMsPerS;
  const double atLiveRate = atFullRate / fleet_.liveFraction;
  if (!fleet_.discovering || fleet_.ownShare) return atLiveRate;
  return std::min(atLiveRate, static_cast<double>(fleet_.discoveryTimeLeft.count()) + atFullRate);
}

std::optional<QuotaShortage> QuotaLedger::take(const GatewayOrganisation& organisation,
                                               double amount, Instant now, double draw) {
  if (organisation.rate <= 0) return std::nullopt;
  Bucket& bucket = bucketOf(organisation, now);
  addToDecayingRate(bucket.demand, bucket.demandUpdated, kDemandTimeConstantS, amount, now);
  const double unreported = expectedUnreported(bucket, now);
  // A request larger than the burst is admitted from a full bucket and leaves it negative.
  const double needed = std::min(amount, bucket.burst);
  const bool admitted = bucket.level >= unreported || draw * unreported < bucket.level;
  if (bucket.level >= needed && admitted) {
    bucket.level -= amount;
    spent_[organisation.name] += amount;
    return std::nullopt;
  }
  const double deficit = std::min(needed + unreported, bucket.burst) - bucket.level;
  const double waitMs = std::max(kMinRetryAfterMs, std::ceil(refillTimeMs(bucket, deficit)));
  // Jitter keeps requests refused at the same time from retrying at the same time.
  const Millis retryDelay(static_cast<Millis::rep>(waitMs * (1 + draw)));
  return QuotaShortage{retryDelay, bucket.level, needed, unreported};
}

void QuotaLedger::refund(const OrganisationName& organisation, double amount) {
  const auto it = buckets_.find(organisation);
  if (it == buckets_.end()) return;
  it->second.level = std::min(it->second.burst, it->second.level + amount);
}

void QuotaLedger::noteSpentElsewhere(const OrganisationName& organisation, double amount,
                                     Instant now) {
  const auto it = buckets_.find(organisation);
  if (it == buckets_.end()) return;
  Bucket& bucket = it->second;
  const std::chrono::duration<double> sinceRefill = now - bucket.refilled;
  if (sinceRefill.count() > kPauseS) refill(bucket, now);
  const std::chrono::duration<double> sincePause = now - bucket.pauseEnded;
  const double available = sincePause.count() <= kPauseReportsS ? bucket.pauseRefill : 0;
  const double covered = std::min(available, amount);
  bucket.pauseRefill -= covered;
  if (!fleet_.discovering) bucket.level -= amount - covered;
  addToDecayingRate(bucket.peerSpendRate, bucket.peerSpendUpdated, kSpendRateTimeConstantS, amount,
                    now);
}

void QuotaLedger::applyLiveFraction(double fraction, Instant now) {
  const double remaining = fraction / fleet_.liveFraction;
  for (auto& [name, bucket] : buckets_) {
    refill(bucket, now);
    if (remaining >= 1) continue;
    // Deducts the estimated spending of the lost peers until the loss was detected, and their share
    // of the remaining level.
    bucket.level -= bucket.peerSpendRate * kFailureDetectionS * (1 - remaining);
    if (bucket.level > 0) bucket.level *= remaining;
  }
}

void QuotaLedger::setFleet(const QuotaFleet& fleet, Instant now) {
  applyLiveFraction(fleet.liveFraction, now);
  const bool sizeKnown = fleet_.ownShare.has_value();
  const std::optional<double> initialShare = sizeKnown ? fleet_.ownShare : fleet.ownShare;
  fleet_ = fleet;
  // Later fleet sizes change the live fraction, not the initial level.
  fleet_.ownShare = initialShare;
  if (sizeKnown || !initialShare) return;
  for (auto& [name, bucket] : buckets_) bucket.level += initialLevel(bucket);
}

}  // namespace Hallchute
