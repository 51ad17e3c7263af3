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
/// The part of a burst that a bucket holds when its daemon starts. When all daemons restart at
/// once, twice within a quota's window, two such parts must fit into the tolerance, which is a
/// tenth.
constexpr double kStartPart = 0.05;
/// For how many seconds daemons spend unheard before they are taken as out of reach.
constexpr double kUnnoticedS = 1.0;
/// Over how many seconds the rate of what others spend is taken: several reports.
constexpr double kRateMemoryS = 2.0;
/// How many times as much as is spent is taken to be asked for, at most. Organisations were seen to
/// ask six times their usual, which is some three times their quota, and refused callers come back.
constexpr double kAskedOverSpent = 4.0;
/// The part of the tolerance that late news may use up; the rest is for restarts and cuts.
constexpr double kToleranceUsed = 0.5;
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
  bucket.level = std::min(bucket.burst, bucket.level + passed.count() * bucket.rate * heardPart_);
}

QuotaLedger::Bucket& QuotaLedger::bucketOf(const GatewayOrganisation& organisation, Instant now) {
  Bucket& bucket = buckets_[organisation.name];
  if (!bucket.known) {
    bucket = {organisation.burst * kStartPart * heardPart_, organisation.rate, organisation.burst,
              started_, true};
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

double QuotaLedger::unheard(const Bucket& bucket) const {
  // One daemon's few requests tell little of the others': what they spend tells more, though it
  // stays behind what they are asked while quotas bind.
  const double byOwn = bucket.asked * static_cast<double>(daemons_);
  const double byOthers = bucket.elsewhere * kAskedOverSpent;
  const std::chrono::duration<double> lag = newsLag_;
  const std::chrono::duration<double> window = tolerance_.window;
  const double tolerated =
      tolerance_.part * (bucket.rate * window.count() + bucket.burst) + tolerance_.slack;
  return std::max(0.0, std::min(byOwn, byOthers) * lag.count() - tolerated * kToleranceUsed);
}

std::optional<Millis> QuotaLedger::take(const GatewayOrganisation& organisation, double amount,
                                        Instant now, double draw) {
  if (organisation.rate <= 0) return std::nullopt;
  Bucket& bucket = bucketOf(organisation, now);
  noteRate(bucket.asked, bucket.askedAt, kAskedMemoryS, amount, now);
  const double ahead = unheard(bucket);
  // A request larger than the burst is admitted from a full bucket, and what it owes is paid later.
  const double needed = std::min(amount, bucket.burst);
  const bool drawn = bucket.level >= ahead || draw * ahead < bucket.level;
  if (bucket.level >= needed && drawn) {
    bucket.level -= amount;
    spent_[organisation.name] += amount;
    return std::nullopt;
  }
  const double perMs = bucket.rate * heardPart_ / 1000;
  const double missing = std::min(needed + ahead, bucket.burst) - bucket.level;
  const double waitMs = std::max(kLeastWaitMs, std::ceil(missing / perMs));
  // All that are refused at a time must not come back at a time.
  return Millis(static_cast<Millis::rep>(waitMs * (1 + draw)));
}

void QuotaLedger::giveBack(const OrganisationName& organisation, double amount) {
  const auto it = buckets_.find(organisation);
  if (it == buckets_.end()) return;
  it->second.level = std::min(it->second.burst, it->second.level + amount);
}

void QuotaLedger::noteSpentElsewhere(const OrganisationName& organisation, double amount,
                                     Instant now) {
  const auto it = buckets_.find(organisation);
  if (it == buckets_.end()) return;
  Bucket& bucket = it->second;
  bucket.level -= amount;
  noteRate(bucket.elsewhere, bucket.heard, kRateMemoryS, amount, now);
}

void QuotaLedger::setHeardPart(double part, Instant now) {
  const double kept = part / heardPart_;
  for (auto& [name, bucket] : buckets_) {
    refill(bucket, now);
    if (kept >= 1) continue;
    // What the lost ones spent until their silence was noticed, and their part of what is left.
    bucket.level -= bucket.elsewhere * kUnnoticedS * (1 - kept);
    if (bucket.level > 0) bucket.level *= kept;
  }
  heardPart_ = part;
}

void QuotaLedger::setFleet(std::size_t daemons, Millis newsLag) {
  daemons_ = daemons;
  newsLag_ = daemons > 1 ? newsLag : Millis(0);
}

}  // namespace Hallchute
