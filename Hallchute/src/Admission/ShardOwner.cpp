// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Admission/ShardOwner.h"

#include <algorithm>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Routing/PrefixBlocks.h"
#include "Hallchute/src/Routing/UpstreamChooser.h"

namespace Hallchute {
namespace {

constexpr Millis kBaseEjectionTime{500};
constexpr Millis kMaxEjectionTime{30'000};
constexpr Millis kMinRetryAfter{100};
constexpr Millis kMaxRetryAfter{60'000};
constexpr double kReleaseGapSmoothing = 0.1;
/// Ranks a resumption before any new request, whatever its class.
constexpr double kResumptionUrgency = 1e6;

std::size_t costOf(const GrantRequest& wanted) {
  return wanted.promptTokens + wanted.expectedTokens;
}

bool hasFailedAt(const GrantRequest& wanted, const UpstreamId& upstream) {
  const auto& failedUpstreams = wanted.failedUpstreams;
  return std::find(failedUpstreams.begin(), failedUpstreams.end(), upstream) !=
         failedUpstreams.end();
}

Refusal refusal(RefusalReason reason, std::string detail, Millis retryAfter) {
  const Millis bounded = std::clamp(retryAfter, kMinRetryAfter, kMaxRetryAfter);
  return {reason, std::move(detail), RunOutcome::notRun, bounded};
}

}  // namespace

ShardOwner::ShardOwner(const ShardPolicy& policy) : policy_(policy) {}

void ShardOwner::setPolicy(const ShardPolicy& policy) {
  policy_ = policy;
  for (OwnedUpstream& upstream : upstreams_) {
    upstream.prefixes.setCapacity(policy_.prefixTokensPerUpstream);
  }
}

std::optional<std::size_t> ShardOwner::indexOf(const UpstreamId& upstream) const {
  for (std::size_t upstreamIndex = 0; upstreamIndex < upstreams_.size(); ++upstreamIndex) {
    if (upstreams_[upstreamIndex].id == upstream) return upstreamIndex;
  }
  return std::nullopt;
}

std::vector<GrantAction> ShardOwner::setUpstreams(std::span<const UpstreamId> live, Instant now) {
  std::vector<GrantAction> actions;
  for (OwnedUpstream& upstream : upstreams_) {
    if (std::find(live.begin(), live.end(), upstream.id) == live.end()) upstream.draining = true;
  }
  for (const UpstreamId& id : live) {
    if (indexOf(id)) continue;
    upstreams_.emplace_back(id, stableHash(id.str()), policy_.prefixTokensPerUpstream);
  }
  // Active grants refer to upstreams by index, so only unused ones at the end are erased.
  while (!upstreams_.empty() && upstreams_.back().draining && upstreams_.back().inFlight == 0) {
    upstreams_.pop_back();
  }
  grantQueued(now, actions);
  return actions;
}

std::vector<GrantAction> ShardOwner::markDraining(const UpstreamId& upstream, Instant now) {
  std::vector<GrantAction> actions;
  if (const auto upstreamIndex = indexOf(upstream)) upstreams_[*upstreamIndex].draining = true;
  grantQueued(now, actions);
  return actions;
}

bool ShardOwner::usable(const OwnedUpstream& upstream, Instant now) const {
  return !upstream.draining && now >= upstream.ejectedUntil;
}

std::size_t ShardOwner::concurrencyLimit(const OwnedUpstream& upstream) const {
  return upstream.consecutiveFailures > 0 ? 1 : policy_.maxInFlightPerUpstream;
}

bool ShardOwner::hasFreeSlot(const OwnedUpstream& upstream) const {
  return upstream.inFlight < concurrencyLimit(upstream) &&
         upstream.prefillTokens < policy_.maxPrefillTokensPerUpstream;
}

std::size_t ShardOwner::usableUpstreams(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(upstreams_.begin(), upstreams_.end(),
                    [&](const OwnedUpstream& upstream) { return usable(upstream, now); }));
}

std::size_t ShardOwner::freeSlots(Instant now) const {
  std::size_t slots = 0;
  for (const OwnedUpstream& upstream : upstreams_) {
    if (usable(upstream, now) && hasFreeSlot(upstream))
      slots += concurrencyLimit(upstream) - upstream.inFlight;
  }
  return slots;
}

std::size_t ShardOwner::inFlightAt(const UpstreamId& upstream) const {
  const auto upstreamIndex = indexOf(upstream);
  return upstreamIndex ? upstreams_[*upstreamIndex].inFlight : 0;
}

std::vector<GrantAction> ShardOwner::requestGrant(GrantRequest wanted, Instant now) {
  if (auto refused = limitRefusal(wanted, now)) return {GrantRefused{wanted.id, *refused}};
  if (queue_.empty() || wanted.resumption) {
    if (auto granted = tryGrant(wanted, now)) return {*granted};
  }
  std::vector<GrantAction> actions;
  if (queue_.size() >= policy_.maxQueue) {
    const GrantId id = wanted.id;
    const GrantRefused refused = evictLowestRanked(wanted, now);
    actions.emplace_back(refused);
    if (refused.id == id) return actions;
  }
  actions.emplace_back(Queued{wanted.id});
  queue_.push_back({std::move(wanted), now});
  grantQueued(now, actions);
  return actions;
}

std::optional<Refusal> ShardOwner::limitRefusal(const GrantRequest& wanted, Instant now) {
  if (now >= wanted.deadline) {
    return refusal(RefusalReason::overloaded, "its deadline passed before it came to be queued",
                   expectedWait(now));
  }
  if (usableUpstreams(now) == 0) {
    return refusal(RefusalReason::noUpstream, "the shard has no usable upstream",
                   kBaseEjectionTime);
  }
  if (wanted.resumption) return std::nullopt;
  if (inFlightOf_[wanted.organisation] >= policy_.organisationInFlight) {
    return refusal(RefusalReason::organisationLimit, "organisationInFlight is reached",
                   expectedWait(now));
  }
  TokenBucket& bucket = buckets_[wanted.organisation];
  bucket.setRate(policy_.organisationTokensPerSecond, now);
  const Millis wait = bucket.take(static_cast<double>(costOf(wanted)), now);
  if (wait == Millis(0)) return std::nullopt;
  return refusal(RefusalReason::organisationLimit, "organisationTokensPerSecond is reached", wait);
}

/// Refuses the request that ranks last in the full queue, which may be the new one.
GrantRefused ShardOwner::evictLowestRanked(const GrantRequest& wanted, Instant now) {
  const Refusal full = refusal(RefusalReason::overloaded, "the queue is full", expectedWait(now));
  Rank last = rankOf(QueuedRequest{wanted, now}, queue_.size(), now);
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    const Rank rank = rankOf(queue_[i], i, now);
    if (last < rank) last = rank;
  }
  if (last.index == queue_.size()) return GrantRefused{wanted.id, full};
  GrantRefused evicted{queue_[last.index].wanted.id, full};
  queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(last.index));
  return evicted;
}

ShardOwner::Rank ShardOwner::rankOf(const QueuedRequest& entry, std::size_t index,
                                    Instant now) const {
  // Aging prevents starvation of low priorities. It restarts with each grant to the organisation in
  // the same class, so that a flood of requests doesn't age past the other organisations.
  const auto lastServed = lastGrant_.find({entry.wanted.organisation, entry.wanted.priority});
  const Instant starvedSince =
      lastServed == lastGrant_.end() ? entry.since : std::max(entry.since, lastServed->second);
  const std::chrono::duration<double, std::milli> starved = now - starvedSince;
  const double share = fairShare_.virtualStartTime(entry.wanted.organisation);
  const double agingBoost = starved.count() / static_cast<double>(policy_.aging.count());
  const double base = entry.wanted.resumption ? kResumptionUrgency : 0;
  const double urgency = base + static_cast<double>(entry.wanted.priority) + agingBoost;
  return {-static_cast<std::int64_t>(urgency), share, entry.since, index};
}

std::optional<Granted> ShardOwner::tryGrant(const GrantRequest& wanted, Instant now) {
  std::vector<Candidate> candidates;
  std::size_t usableCount = 0;
  std::size_t usableInFlight = 0;
  // A request that failed at every usable upstream may be retried at one of them.
  const bool hasUntriedUpstream =
      std::any_of(upstreams_.begin(), upstreams_.end(), [&](const OwnedUpstream& upstream) {
        return usable(upstream, now) && !hasFailedAt(wanted, upstream.id);
      });
  const std::vector<double> costs = computeCosts(wanted);
  for (std::size_t upstreamIndex = 0; upstreamIndex < upstreams_.size(); ++upstreamIndex) {
    const OwnedUpstream& upstream = upstreams_[upstreamIndex];
    if (!usable(upstream, now)) continue;
    ++usableCount;
    usableInFlight += upstream.inFlight;
    if (!hasFreeSlot(upstream)) continue;
    if (hasUntriedUpstream && hasFailedAt(wanted, upstream.id)) continue;
    candidates.push_back({upstreamIndex, upstream.idHash, upstream.inFlight, upstream.pendingTokens,
                          upstream.prefixes.cachedTokens(wanted.prefixHashes)});
    candidates.back().computeCost =
        costs[candidates.back().cachedTokens / PrefixBlocks::kTokensPerBlock];
    if (const auto oldest = upstream.prefixes.nextEvictionStamp()) {
      candidates.back().evictionAge = prefixClock_ - *oldest;
    }
  }
  RoutingRequest request{wanted.affinity, wanted.promptTokens, 0};
  if (usableCount > 0) {
    request.meanInFlight = static_cast<double>(usableInFlight) / static_cast<double>(usableCount);
  }
  const auto upstreamIndex = chooseUpstream(policy_.choice, request, candidates);
  if (!upstreamIndex) return std::nullopt;
  const auto chosen = std::find_if(candidates.begin(), candidates.end(),
                                   [&](const Candidate& c) { return c.slot == *upstreamIndex; });
  return grantAt(wanted, *upstreamIndex, chosen->cachedTokens, now);
}

/// \returns for each number of cached leading blocks, the cost of computing the rest of the prompt.
std::vector<double> ShardOwner::computeCosts(const GrantRequest& wanted) const {
  constexpr std::size_t kBlock = PrefixBlocks::kTokensPerBlock;
  const std::size_t blocks = wanted.prefixHashes.size();
  const std::size_t inBlocks = std::min(wanted.promptTokens, blocks * kBlock);
  std::vector<double> costs(blocks + 1, static_cast<double>(wanted.promptTokens - inBlocks));
  const auto count = static_cast<double>(std::max<std::size_t>(upstreams_.size(), 1));
  for (std::size_t i = blocks; i-- > 0;) {
    std::uint64_t uses = 0;
    for (const OwnedUpstream& upstream : upstreams_) {
      uses += upstream.prefixes.useCount(wanted.prefixHashes[i]);
    }
    const double weight = 1 / (1 + static_cast<double>(uses) / count);
    costs[i] = costs[i + 1] + weight * static_cast<double>(kBlock);
  }
  return costs;
}

Granted ShardOwner::grantAt(const GrantRequest& wanted, std::size_t upstreamIndex,
                            std::size_t cached, Instant now) {
  OwnedUpstream& upstream = upstreams_[upstreamIndex];
  const std::size_t cost = costOf(wanted);
  ++upstream.inFlight;
  upstream.pendingTokens += cost;
  const std::size_t prefill = wanted.promptTokens - std::min(wanted.promptTokens, cached);
  upstream.prefillTokens += prefill;
  upstream.prefixes.recordUse(wanted.prefixHashes, ++prefixClock_);
  ++inFlightOf_[wanted.organisation];
  fairShare_.charge(wanted.organisation, static_cast<double>(cost + 1), wanted.weight);
  lastGrant_[{wanted.organisation, wanted.priority}] = now;
  grants_[wanted.id] = {upstreamIndex, wanted.organisation, cost, prefill, now};
  return {wanted.id, upstream.id, cached};
}

std::vector<std::size_t> ShardOwner::queueOrder(Instant now) const {
  std::vector<Rank> ranked;
  ranked.reserve(queue_.size());
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    ranked.push_back(rankOf(queue_[i], i, now));
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::size_t> order;
  order.reserve(ranked.size());
  for (const Rank& rank : ranked) order.push_back(rank.index);
  return order;
}

void ShardOwner::grantQueued(Instant now, std::vector<GrantAction>& actions) {
  while (!queue_.empty() && freeSlots(now) > 0) {
    bool any = false;
    for (const std::size_t index : queueOrder(now)) {
      const auto granted = tryGrant(queue_[index].wanted, now);
      if (!granted) continue;
      actions.emplace_back(*granted);
      queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
      any = true;
      break;
    }
    if (!any) return;
  }
}

void ShardOwner::hold(const ExistingGrant& held) {
  auto upstreamIndex = indexOf(held.upstream);
  if (!upstreamIndex) {
    upstreams_.emplace_back(held.upstream, stableHash(held.upstream.str()),
                            policy_.prefixTokensPerUpstream);
    upstreamIndex = upstreams_.size() - 1;
    upstreams_[*upstreamIndex].draining = true;
  }
  ++upstreams_[*upstreamIndex].inFlight;
  upstreams_[*upstreamIndex].pendingTokens += held.tokens;
  ++inFlightOf_[held.organisation];
  grants_[held.id] = {*upstreamIndex, held.organisation, held.tokens, 0, Instant{}};
}

std::vector<GrantAction> ShardOwner::noteFirstToken(GrantId id, Instant now) {
  std::vector<GrantAction> actions;
  const auto it = grants_.find(id);
  if (it == grants_.end()) return actions;
  upstreams_[it->second.upstreamIndex].prefillTokens -= it->second.prefillTokens;
  it->second.prefillTokens = 0;
  grantQueued(now, actions);
  return actions;
}

std::vector<GrantAction> ShardOwner::release(GrantId id, GrantEnd end, Instant now) {
  std::vector<GrantAction> actions;
  std::erase_if(queue_, [&](const QueuedRequest& entry) { return entry.wanted.id == id; });
  const auto it = grants_.find(id);
  if (it == grants_.end()) return actions;
  OwnedUpstream& upstream = upstreams_[it->second.upstreamIndex];
  --upstream.inFlight;
  upstream.pendingTokens -= std::min(upstream.pendingTokens, it->second.tokens);
  upstream.prefillTokens -= it->second.prefillTokens;
  const auto organisation = inFlightOf_.find(it->second.organisation);
  if (--organisation->second == 0) inFlightOf_.erase(organisation);
  grants_.erase(it);
  updateHealth(upstream, end, now);
  updateReleaseGap(now);
  grantQueued(now, actions);
  return actions;
}

void ShardOwner::updateHealth(OwnedUpstream& upstream, GrantEnd end, Instant now) {
  switch (end) {
    case GrantEnd::finished:
      upstream.consecutiveFailures = 0;
      return;
    case GrantEnd::cancelled:
      return;
    case GrantEnd::connectFailed:
    case GrantEnd::broke:
      break;
  }
  const std::uint32_t doublings = std::min(upstream.consecutiveFailures, 6U);
  ++upstream.consecutiveFailures;
  upstream.ejectedUntil = now + std::min(kBaseEjectionTime * (1 << doublings), kMaxEjectionTime);
}

void ShardOwner::updateReleaseGap(Instant now) {
  if (lastReleaseAt_ != Instant{}) {
    const std::chrono::duration<double, std::milli> gap = now - lastReleaseAt_;
    releaseGapMs_ += kReleaseGapSmoothing * (gap.count() - releaseGapMs_);
  }
  lastReleaseAt_ = now;
}

Millis ShardOwner::expectedWait(Instant now) const {
  if (freeSlots(now) > queue_.size()) return kMinRetryAfter;
  return Millis(static_cast<std::int64_t>(releaseGapMs_ * static_cast<double>(queue_.size() + 1)));
}

std::vector<GrantAction> ShardOwner::tick(Instant now) {
  std::vector<GrantAction> actions;
  grantQueued(now, actions);
  const Millis wait = expectedWait(now);
  const bool noneUsable = usableUpstreams(now) == 0;
  std::erase_if(queue_, [&](const QueuedRequest& entry) {
    if (now < entry.wanted.deadline && !noneUsable) return false;
    const Refusal expired =
        noneUsable ? refusal(RefusalReason::noUpstream, "the shard has no usable upstream",
                             kBaseEjectionTime)
                   : refusal(RefusalReason::overloaded, "waited queueLimitMs for a place", wait);
    actions.emplace_back(GrantRefused{entry.wanted.id, expired});
    return true;
  });
  return actions;
}

}  // namespace Hallchute
