// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Admission/ShardOwner.h"

#include <algorithm>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Routing/PrefixBlocks.h"
#include "Hallchute/src/Routing/UpstreamChooser.h"

namespace Hallchute {
namespace {

constexpr Millis kFirstShun{500};
constexpr Millis kLongestShun{30'000};
constexpr Millis kShortestRetryAfter{100};
constexpr Millis kLongestRetryAfter{60'000};
constexpr double kReleaseSmoothing = 0.1;
/// A resumption goes before any new work, whatever its class.
constexpr double kResumptionUrgency = 1e6;

std::size_t costOf(const GrantRequest& wanted) {
  return wanted.promptTokens + wanted.expectedTokens;
}

bool avoids(const GrantRequest& wanted, const UpstreamId& upstream) {
  const auto& failedUpstreams = wanted.failedUpstreams;
  return std::find(failedUpstreams.begin(), failedUpstreams.end(), upstream) !=
         failedUpstreams.end();
}

Refusal refusal(RefusalReason reason, std::string detail, Millis retryAfter) {
  const Millis bounded = std::clamp(retryAfter, kShortestRetryAfter, kLongestRetryAfter);
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

std::optional<std::size_t> ShardOwner::slotOf(const UpstreamId& upstream) const {
  for (std::size_t slot = 0; slot < upstreams_.size(); ++slot) {
    if (upstreams_[slot].id == upstream) return slot;
  }
  return std::nullopt;
}

std::vector<GrantAction> ShardOwner::setUpstreams(std::span<const UpstreamId> live, Instant now) {
  std::vector<GrantAction> actions;
  for (OwnedUpstream& upstream : upstreams_) {
    if (std::find(live.begin(), live.end(), upstream.id) == live.end()) upstream.leaving = true;
  }
  for (const UpstreamId& id : live) {
    if (slotOf(id)) continue;
    upstreams_.emplace_back(id, stableHash(id.str()), policy_.prefixTokensPerUpstream);
  }
  // Slots are indices held by running grants, so only the unused tail is given back.
  while (!upstreams_.empty() && upstreams_.back().leaving && upstreams_.back().inFlight == 0) {
    upstreams_.pop_back();
  }
  grantWaiting(now, actions);
  return actions;
}

std::vector<GrantAction> ShardOwner::markDraining(const UpstreamId& upstream, Instant now) {
  std::vector<GrantAction> actions;
  if (const auto slot = slotOf(upstream)) upstreams_[*slot].leaving = true;
  grantWaiting(now, actions);
  return actions;
}

bool ShardOwner::usable(const OwnedUpstream& upstream, Instant now) const {
  return !upstream.leaving && now >= upstream.shunnedUntil;
}

std::size_t ShardOwner::limitOf(const OwnedUpstream& upstream) const {
  return upstream.failures > 0 ? 1 : policy_.maxInFlightPerUpstream;
}

bool ShardOwner::hasRoom(const OwnedUpstream& upstream) const {
  return upstream.inFlight < limitOf(upstream) &&
         upstream.prefillTokens < policy_.maxPrefillTokensPerUpstream;
}

std::size_t ShardOwner::usableUpstreams(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(upstreams_.begin(), upstreams_.end(),
                    [&](const OwnedUpstream& upstream) { return usable(upstream, now); }));
}

std::size_t ShardOwner::freePlaces(Instant now) const {
  std::size_t places = 0;
  for (const OwnedUpstream& upstream : upstreams_) {
    if (usable(upstream, now) && hasRoom(upstream)) places += limitOf(upstream) - upstream.inFlight;
  }
  return places;
}

std::size_t ShardOwner::inFlightAt(const UpstreamId& upstream) const {
  const auto slot = slotOf(upstream);
  return slot ? upstreams_[*slot].inFlight : 0;
}

std::vector<GrantAction> ShardOwner::requestGrant(GrantRequest wanted, Instant now) {
  if (auto refused = limitRefusal(wanted, now)) return {GrantRefused{wanted.id, *refused}};
  if (queue_.empty() || wanted.resumption) {
    if (auto granted = tryGrant(wanted, now)) return {*granted};
  }
  std::vector<GrantAction> actions;
  if (queue_.size() >= policy_.maxQueue) {
    const GrantId id = wanted.id;
    const GrantRefused refused = makeRoom(wanted, now);
    actions.emplace_back(refused);
    if (refused.id == id) return actions;
  }
  actions.emplace_back(Queued{wanted.id});
  queue_.push_back({std::move(wanted), now});
  grantWaiting(now, actions);
  return actions;
}

std::optional<Refusal> ShardOwner::limitRefusal(const GrantRequest& wanted, Instant now) {
  if (now >= wanted.deadline) {
    return refusal(RefusalReason::overloaded, "its deadline passed before it came to be queued",
                   expectedWait(now));
  }
  if (usableUpstreams(now) == 0) {
    return refusal(RefusalReason::noUpstream, "the shard has no usable upstream", kFirstShun);
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

/// The queue is full: the wish that would be served last goes, be it the new one.
GrantRefused ShardOwner::makeRoom(const GrantRequest& wanted, Instant now) {
  const Refusal full = refusal(RefusalReason::overloaded, "the queue is full", expectedWait(now));
  Rank last = rankOf(Waiting{wanted, now}, queue_.size(), now);
  for (std::size_t i = 0; i < queue_.size(); ++i) {
    const Rank rank = rankOf(queue_[i], i, now);
    if (last < rank) last = rank;
  }
  if (last.index == queue_.size()) return GrantRefused{wanted.id, full};
  GrantRefused evicted{queue_[last.index].wanted.id, full};
  queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(last.index));
  return evicted;
}

ShardOwner::Rank ShardOwner::rankOf(const Waiting& waiting, std::size_t index, Instant now) const {
  // Aging keeps patient work from starving. What its organisation was granted in the same class
  // ends its starving: a flood does not age past the others.
  const auto served = lastGrant_.find({waiting.wanted.organisation, waiting.wanted.priority});
  const Instant starving =
      served == lastGrant_.end() ? waiting.since : std::max(waiting.since, served->second);
  const std::chrono::duration<double, std::milli> starved = now - starving;
  const double share = shares_.startOf(waiting.wanted.organisation);
  const double raised = starved.count() / static_cast<double>(policy_.aging.count());
  const double base = waiting.wanted.resumption ? kResumptionUrgency : 0;
  const double urgency = base + static_cast<double>(waiting.wanted.priority) + raised;
  return {-static_cast<std::int64_t>(urgency), share, waiting.since, index};
}

std::optional<Granted> ShardOwner::tryGrant(const GrantRequest& wanted, Instant now) {
  std::vector<Candidate> candidates;
  std::size_t usableCount = 0;
  std::size_t usableInFlight = 0;
  // A request that failed everywhere may go back to where it failed.
  const bool avoidable =
      std::any_of(upstreams_.begin(), upstreams_.end(), [&](const OwnedUpstream& upstream) {
        return usable(upstream, now) && !avoids(wanted, upstream.id);
      });
  const std::vector<double> costs = computeCosts(wanted);
  for (std::size_t slot = 0; slot < upstreams_.size(); ++slot) {
    const OwnedUpstream& upstream = upstreams_[slot];
    if (!usable(upstream, now)) continue;
    ++usableCount;
    usableInFlight += upstream.inFlight;
    if (!hasRoom(upstream)) continue;
    if (avoidable && avoids(wanted, upstream.id)) continue;
    candidates.push_back({slot, upstream.idHash, upstream.inFlight, upstream.pendingTokens,
                          upstream.prefixes.cachedTokens(wanted.prefixHashes)});
    candidates.back().computeCost =
        costs[candidates.back().cachedTokens / PrefixBlocks::kTokensPerBlock];
    if (const auto oldest = upstream.prefixes.nextEvictionStamp()) {
      candidates.back().evictionAge = stamp_ - *oldest;
    }
  }
  RoutingRequest request{wanted.affinity, wanted.promptTokens, 0};
  if (usableCount > 0) {
    request.meanInFlight = static_cast<double>(usableInFlight) / static_cast<double>(usableCount);
  }
  const auto slot = chooseUpstream(policy_.choice, request, candidates);
  if (!slot) return std::nullopt;
  const auto chosen = std::find_if(candidates.begin(), candidates.end(),
                                   [&](const Candidate& c) { return c.slot == *slot; });
  return place(wanted, *slot, chosen->cachedTokens, now);
}

/// \returns for each number of leading blocks held, what the rest of the prompt costs to compute.
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

Granted ShardOwner::place(const GrantRequest& wanted, std::size_t slot, std::size_t cached,
                          Instant now) {
  OwnedUpstream& upstream = upstreams_[slot];
  const std::size_t cost = costOf(wanted);
  ++upstream.inFlight;
  upstream.pendingTokens += cost;
  const std::size_t prefill = wanted.promptTokens - std::min(wanted.promptTokens, cached);
  upstream.prefillTokens += prefill;
  upstream.prefixes.recordUse(wanted.prefixHashes, ++stamp_);
  ++inFlightOf_[wanted.organisation];
  shares_.charge(wanted.organisation, static_cast<double>(cost + 1), wanted.weight);
  lastGrant_[{wanted.organisation, wanted.priority}] = now;
  grants_[wanted.id] = {slot, wanted.organisation, cost, prefill, now};
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

void ShardOwner::grantWaiting(Instant now, std::vector<GrantAction>& actions) {
  while (!queue_.empty() && freePlaces(now) > 0) {
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
  auto slot = slotOf(held.upstream);
  if (!slot) {
    upstreams_.emplace_back(held.upstream, stableHash(held.upstream.str()),
                            policy_.prefixTokensPerUpstream);
    slot = upstreams_.size() - 1;
    upstreams_[*slot].leaving = true;
  }
  ++upstreams_[*slot].inFlight;
  upstreams_[*slot].pendingTokens += held.tokens;
  ++inFlightOf_[held.organisation];
  grants_[held.id] = {*slot, held.organisation, held.tokens, 0, Instant{}};
}

std::vector<GrantAction> ShardOwner::noteFirstToken(GrantId id, Instant now) {
  std::vector<GrantAction> actions;
  const auto it = grants_.find(id);
  if (it == grants_.end()) return actions;
  upstreams_[it->second.slot].prefillTokens -= it->second.prefillTokens;
  it->second.prefillTokens = 0;
  grantWaiting(now, actions);
  return actions;
}

std::vector<GrantAction> ShardOwner::release(GrantId id, GrantEnd end, Instant now) {
  std::vector<GrantAction> actions;
  std::erase_if(queue_, [&](const Waiting& waiting) { return waiting.wanted.id == id; });
  const auto it = grants_.find(id);
  if (it == grants_.end()) return actions;
  OwnedUpstream& upstream = upstreams_[it->second.slot];
  --upstream.inFlight;
  upstream.pendingTokens -= std::min(upstream.pendingTokens, it->second.tokens);
  upstream.prefillTokens -= it->second.prefillTokens;
  const auto organisation = inFlightOf_.find(it->second.organisation);
  if (--organisation->second == 0) inFlightOf_.erase(organisation);
  grants_.erase(it);
  noteEnd(upstream, end, now);
  noteRelease(now);
  grantWaiting(now, actions);
  return actions;
}

void ShardOwner::noteEnd(OwnedUpstream& upstream, GrantEnd end, Instant now) {
  switch (end) {
    case GrantEnd::finished:
      upstream.failures = 0;
      return;
    case GrantEnd::cancelled:
      return;
    case GrantEnd::connectFailed:
    case GrantEnd::broke:
      break;
  }
  const std::uint32_t doublings = std::min(upstream.failures, 6U);
  ++upstream.failures;
  upstream.shunnedUntil = now + std::min(kFirstShun * (1 << doublings), kLongestShun);
}

void ShardOwner::noteRelease(Instant now) {
  if (lastRelease_ != Instant{}) {
    const std::chrono::duration<double, std::milli> gap = now - lastRelease_;
    releaseGapMs_ += kReleaseSmoothing * (gap.count() - releaseGapMs_);
  }
  lastRelease_ = now;
}

Millis ShardOwner::expectedWait(Instant now) const {
  if (freePlaces(now) > queue_.size()) return kShortestRetryAfter;
  return Millis(static_cast<std::int64_t>(releaseGapMs_ * static_cast<double>(queue_.size() + 1)));
}

std::vector<GrantAction> ShardOwner::tick(Instant now) {
  std::vector<GrantAction> actions;
  grantWaiting(now, actions);
  const Millis wait = expectedWait(now);
  const bool none = usableUpstreams(now) == 0;
  std::erase_if(queue_, [&](const Waiting& waiting) {
    if (now < waiting.wanted.deadline && !none) return false;
    const Refusal gone =
        none ? refusal(RefusalReason::noUpstream, "the shard has no usable upstream", kFirstShun)
             : refusal(RefusalReason::overloaded, "waited queueLimitMs for a place", wait);
    actions.emplace_back(GrantRefused{waiting.wanted.id, gone});
    return true;
  });
  return actions;
}

}  // namespace Hallchute
