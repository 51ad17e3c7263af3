// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/QuotaLedger.h"

#include <algorithm>
#include <cmath>

#include "Hallchute/src/Gateway/GatewaySettings.h"

namespace Hallchute {
namespace {

/// A refusal asks for at least this much patience: a shorter one would only be refused again.
constexpr double kLeastWaitMs = 50;
/// The part of the tolerance that the buckets of a whole fleet hold when it starts. All daemons may
/// restart twice within a window: two such parts and what late news lets through must fit in.
/// Fleets of 1 to 77 that restart so while asked for 2.5 times the quota admit at most 9.8 seconds'
/// worth of a rate in a window that allows 10.1 (a virtual-time test).
constexpr double kToleranceAtStart = 0.25;
/// For how many seconds daemons spend unheard before they are taken as out of reach.
constexpr double kUnnoticedS = 1.0;
/// Over how many seconds the rate of what others spend is taken: several reports.
constexpr double kRateMemoryS = 2.0;
/// How many times as much as is spent is taken to be asked for, at most. Organisations were seen to
/// ask six times their usual, which is some three times their quota, and refused callers come back.
constexpr double kAskedOverSpent = 4.0;
/// The part of the tolerance that late news may use up; the rest is for restarts and cuts.
constexpr double kToleranceUsed = 0.5;
/// What late news may use up in the first window after a start: what was overdrawn before it is not
/// known any more. With a half here, the fleets of that test admit up to 10.7.
constexpr double kToleranceUsedAtStart = 0.1;
/// Over how many seconds the rate of what is asked for here is taken: long enough that one request
/// doesn't look like many, short enough to follow a jump of the demand.
constexpr double kAskedMemoryS = 2.0;

/// Adds an amount to a rate per second that forgets with \p memoryS.
void noteRate(double& rate, Instant& at, double memoryS, double amount, Instant now) {
  const std::chrono::duration<double> passed = now - at;
  at = now;
  rate *= std::exp(-passed.count() / memoryS);
  rate += amount / memoryS;
}

}  // namespace

void QuotaLedger::refill(Bucket& bucket, Instant now) const {
  const std::chrono::duration<double> passed = now - bucket.filled;
  bucket.filled = now;
  bucket.level =
      std::min(bucket.burst, bucket.level + passed.count() * bucket.rate * fleet_.liveFraction);
}

QuotaLedger::Bucket& QuotaLedger::bucketOf(const GatewayOrganisation& organisation, Instant now) {
  Bucket& bucket = buckets_[organisation.name];
  if (!bucket.known) {
    bucket = {0, organisation.rate, organisation.burst, started_, true};
    bucket.level = startLevel(bucket);
    refill(bucket, now);
    return bucket;
  }
  refill(bucket, now);
  if (bucket.rate != organisation.rate || bucket.burst != organisation.burst) {
    // A raised burst is there at once, a lowered one binds at once.
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

double QuotaLedger::tolerated(const Bucket& bucket) const {
  const std::chrono::duration<double> window = tolerance_.window;
  return tolerance_.fraction * (bucket.rate * window.count() + bucket.burst) + tolerance_.slack;
}

double QuotaLedger::startLevel(const Bucket& bucket) const {
  const double whole = std::min(bucket.burst, tolerated(bucket) * kToleranceAtStart);
  return whole * fleet_.ownShare.value_or(0);
}

double QuotaLedger::unreported(const Bucket& bucket, Instant now) const {
  // One daemon's few requests tell little of the others': what they spend tells more, though it
  // stays behind what they are asked while quotas bind.
  const double byOwn = bucket.asked * static_cast<double>(fleet_.heard);
  const double byOthers = bucket.peerLoad * kAskedOverSpent;
  const std::chrono::duration<double> lag = fleet_.heard > 1 ? fleet_.reportLag : Millis(0);
  const double asked = std::min(byOwn, byOthers) * lag.count();
  const bool early = now - started_ < tolerance_.window;
  const double fraction = early ? kToleranceUsedAtStart : kToleranceUsed;
  return std::max(0.0, asked - tolerated(bucket) * fraction);
}

/// How long a bucket takes to gain an amount. A fleet of unknown size spends next to nothing until
/// it has met: by that alone callers were told to wait up to a hundred times as long as needed.
double QuotaLedger::fillMs(const Bucket& bucket, double amount) const {
  constexpr double kMsPerS = 1'000;
  const double wholeRate = amount / bucket.rate * kMsPerS;
  const double byHeard = wholeRate / fleet_.liveFraction;
  if (!fleet_.discovering || fleet_.ownShare) return byHeard;
  return std::min(byHeard, static_cast<double>(fleet_.discoveryTimeLeft.count()) + wholeRate);
}

std::optional<QuotaShortage> QuotaLedger::take(const GatewayOrganisation& organisation,
                                               double amount, Instant now, double draw) {
  if (organisation.rate <= 0) return std::nullopt;
  Bucket& bucket = bucketOf(organisation, now);
  noteRate(bucket.asked, bucket.askedAt, kAskedMemoryS, amount, now);
  const double ahead = unreported(bucket, now);
  // A request larger than the burst is admitted from a full bucket, and what it owes is paid later.
  const double needed = std::min(amount, bucket.burst);
  const bool drawn = bucket.level >= ahead || draw * ahead < bucket.level;
  if (bucket.level >= needed && drawn) {
    bucket.level -= amount;
    spent_[organisation.name] += amount;
    return std::nullopt;
  }
  const double missing = std::min(needed + ahead, bucket.burst) - bucket.level;
  const double waitMs = std::max(kLeastWaitMs, std::ceil(fillMs(bucket, missing)));
  // All that are refused at a time must not come back at a time.
  const Millis retryDelay(static_cast<Millis::rep>(waitMs * (1 + draw)));
  return QuotaShortage{retryDelay, bucket.level, needed, ahead};
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
  if (!fleet_.discovering) bucket.level -= amount;
  noteRate(bucket.peerLoad, bucket.heard, kRateMemoryS, amount, now);
}

void QuotaLedger::noteHeardPart(double fraction, Instant now) {
  const double kept = fraction / fleet_.liveFraction;
  for (auto& [name, bucket] : buckets_) {
    refill(bucket, now);
    if (kept >= 1) continue;
    // What the lost ones spent until their silence was noticed, and their part of what is left.
    bucket.level -= bucket.peerLoad * kUnnoticedS * (1 - kept);
    if (bucket.level > 0) bucket.level *= kept;
  }
}

void QuotaLedger::setFleet(const QuotaFleet& fleet, Instant now) {
  noteHeardPart(fleet.liveFraction, now);
  const bool sizeKnown = fleet_.ownShare.has_value();
  const std::optional<double> first = sizeKnown ? fleet_.ownShare : fleet.ownShare;
  fleet_ = fleet;
  // Later sizes change what is heard, not what was there at the start.
  fleet_.ownShare = first;
  if (sizeKnown || !first) return;
  for (auto& [name, bucket] : buckets_) bucket.level += startLevel(bucket);
}

}  // namespace Hallchute
