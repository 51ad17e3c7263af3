// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/SlotLedger.h"

#include <algorithm>

#include "Hallchute/src/Core/StableHash.h"

namespace Hallchute {
namespace {

/// Slots that are gained at once. With more, a coordinator that grants nothing for some time would
/// send that many requests to an upstream that others may have filled.
constexpr double kMaxCredit = 1;
/// Slots gained per second at least: only an answer tells that a limit has changed.
constexpr double kMinCreditPerSecond = 0.25;
/// Time for which a slot that nobody uses stays free for certain while other daemons may be
/// coordinators too.
constexpr Millis kUnusedRetention{1'000};
/// Time after a rejection in which no slots are gained by answers.
constexpr Millis kCaution{1'000};
/// Time after which an unused upstream is forgotten.
constexpr Millis kEntryRetention{60'000};

std::pair<UpstreamId, std::uint64_t> keyOf(const UpstreamIncarnation& upstream) {
  return {upstream.id, upstream.incarnation};
}

void decrease(std::uint32_t& count) {
  if (count > 0) --count;
}

}  // namespace

std::string_view describe(SlotVerdict verdict) {
  switch (verdict) {
    case SlotVerdict::granted:
      return "granted";
    case SlotVerdict::full:
      return "full";
    case SlotVerdict::gaining:
      return "gaining";
    case SlotVerdict::rejecting:
      return "rejecting";
    case SlotVerdict::notCoordinator:
      return "notCoordinator";
    case SlotVerdict::unreachable:
      return "unreachable";
  }
  return "";
}

void SlotLedger::setFleet(double liveFraction, std::string_view coordinator) {
  liveFraction_ = liveFraction;
  seed_ = stableHash(coordinator);
}

/// Parts of a fleet that is cut apart begin at the same time, with small shares: where each of them
/// is in its first interval differs, so that their first slots don't come together.
SlotLedger::Entry& SlotLedger::entryOf(const SlotRequest& request, Instant now) {
  const auto [it, added] = entries_.try_emplace(keyOf(request.upstream));
  Entry& entry = it->second;
  if (added) {
    entry.credit = complete() ? kMaxCredit : hashFraction(request.upstream.id.str(), seed_);
    entry.creditedAt = now;
    entry.peakSince = now;
  }
  entry.perSecond = request.rejectionsPerSecond;
  entry.slots = std::max<std::uint32_t>(1, request.slots);
  entry.usedAt = now;
  return entry;
}

void SlotLedger::addCredit(Entry& entry, Instant now) const {
  const std::chrono::duration<double> time = now - entry.creditedAt;
  const double perSecond = std::max(entry.perSecond, kMinCreditPerSecond) * liveFraction_;
  entry.credit = std::min(kMaxCredit, entry.credit + perSecond * time.count());
  entry.creditedAt = now;
}

/// Another coordinator may have granted what has not been used here for some time.
void SlotLedger::forgetUnused(Entry& entry, Instant now) const {
  if (now - entry.peakSince < kUnusedRetention) return;
  const bool lapsed = now - entry.peakSince >= 2 * kUnusedRetention;
  const auto inUse = static_cast<std::uint32_t>(entry.leases.size());
  entry.earlierPeak = lapsed ? inUse : entry.peak;
  entry.peak = inUse;
  entry.peakSince = now;
  if (!complete()) entry.allowed = std::min(entry.allowed, std::max(entry.peak, entry.earlierPeak));
}

bool SlotLedger::gainSlot(Entry& entry) const {
  if (entry.credit < kMaxCredit) return false;
  entry.credit -= 1;
  ++entry.allowed;
  return true;
}

SlotDecision SlotLedger::acquire(const SlotRequest& request, Instant now) {
  Entry& entry = entryOf(request, now);
  addCredit(entry, now);
  forgetUnused(entry, now);
  SlotDecision decision;
  decision.lease.upstream = request.upstream;
  decision.inUse = static_cast<std::uint32_t>(entry.leases.size());
  if (decision.inUse >= entry.slots) {
    decision.verdict = SlotVerdict::full;
  } else if (entry.credit < 0) {
    decision.verdict = SlotVerdict::rejecting;
  } else if (decision.inUse >= entry.allowed && !gainSlot(entry)) {
    decision.verdict = SlotVerdict::gaining;
  } else {
    decision.verdict = SlotVerdict::granted;
    decision.lease.id = nextLease_++;
    entry.leases.insert(decision.lease.id);
    entry.peak = std::max(entry.peak, decision.inUse + 1);
  }
  decision.allowed = entry.allowed;
  return decision;
}

void SlotLedger::release(const SlotLease& lease, SlotOutcome outcome, Instant now) {
  const auto it = entries_.find(keyOf(lease.upstream));
  if (it == entries_.end() || it->second.leases.erase(lease.id) == 0) return;
  Entry& entry = it->second;
  addCredit(entry, now);
  switch (outcome) {
    case SlotOutcome::answered: {
      const bool cautious = entry.rejectedAt != Instant{} && now - entry.rejectedAt < kCaution;
      if (complete() && !cautious && entry.allowed < entry.slots) ++entry.allowed;
      return;
    }
    case SlotOutcome::unused:
      return;
    case SlotOutcome::rejected:
      entry.rejectedAt = now;
      entry.credit -= 1;
      decrease(entry.allowed);
      decrease(entry.peak);
      decrease(entry.earlierPeak);
      return;
    case SlotOutcome::unknown:
      decrease(entry.allowed);
      return;
  }
}

void SlotLedger::retain(const std::function<bool(const UpstreamId&)>& coordinates, Instant now) {
  std::erase_if(entries_, [&](const auto& item) {
    const auto& [key, entry] = item;
    const bool unused = entry.leases.empty() && now - entry.usedAt > kEntryRetention;
    return unused || !coordinates(key.first);
  });
}

}  // namespace Hallchute
