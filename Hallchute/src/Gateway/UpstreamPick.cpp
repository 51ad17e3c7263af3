// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/UpstreamPick.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <limits>
#include <span>
#include <utility>
#include <vector>

#include "Hallchute/src/Core/StableHash.h"

namespace Hallchute {
namespace {

/// Time for which an unlisted upstream is used as a last resort: entries expire while the directory
/// is unavailable, and an upstream that is shutting down serves for about two more seconds.
constexpr Millis kUsableAfterUnlisted{1'500};
/// Bounded load: upstreams above this multiple of the mean load, plus this slack in requests, are
/// skipped in rendezvous order.
constexpr double kLoadBound = 1.5;
constexpr double kLoadSlack = 6;
/// Cost of a recomputed token relative to a token in the prefill backlog: it also delays later
/// requests at the other upstream and occupies its cache. In paired replays of six days on four
/// seeds, 0.906 of the requested value was served with this cost and 0.894 with request counts
/// alone.
constexpr double kRecomputeCost = 4;
/// Minimum difference in prefill backlog before another upstream is chosen: what an engine
/// processes in 10 to 60 ms, less than the age of load reports.
constexpr double kRecomputeSlackTokens = 2'000;
/// The same with estimates, which count only tokens that aren't expected in the cache, so that a
/// backlog of the same requests is shorter. One daemon, whose loads are exact, does better with a
/// lower cost than many: in the burst of EstimatesTest with equal engines and 77 daemons, the 95th
/// percentile of short streams was 621 ms with 1.5 and 542 ms with 2.5.
constexpr double kEstimatedRecomputeCost = 2.5;
constexpr double kOwnRecomputeCost = 1.2;
constexpr double kEstimatedSlackTokens = 1'000;
/// Upstreams considered for an affinity key, in its rendezvous order. With a backlog at the first
/// choices, daemons act on the same outdated load reports; a small number spreads keys over
/// different upstreams and returns them to where their prefix is cached. In a virtual-time burst of
/// prompts at 40 engines and 295 daemons, the 95th percentile time to the first event was 1,459 ms
/// with 18% of the tokens recomputed without this limit, 885 ms and 10% with two, 985 ms and 13%
/// with three.
constexpr std::size_t kAffinityCandidates = 2;
/// Upstreams considered if neither of these is expected to respond within the objective: the first
/// that is, in rendezvous order, so that keys spread and only their own next upstreams get them.
constexpr std::size_t kMaxAffinityCandidates = 4;
/// Predicted time, in objectives, of the first two candidates from which on further ones are
/// considered. With 1, a burst at 77 daemons and equal engines recomputed 6% of the tokens instead
/// of 3%, and the 95th percentile of short streams was 740 ms instead of 621 ms.
constexpr double kFurtherObjectives = 2;
/// Relative speed up to which an upstream counts as slow. Others would always respond earlier, so
/// it would get no work and be taken for one of mean speed again.
constexpr double kSlowSpeed = 0.5;
/// Fraction of a slow upstream's keys' requests that go to it as long as they would be on time.
constexpr double kMeasuredFraction = 0.25;
/// Cost of an upstream in another failure domain, added to its load as a fraction of its slots:
/// cross-domain traffic adds a few milliseconds of latency and is billed.
constexpr double kRemoteDomainCost = 0.15;
/// From this fraction of the load on, this daemon placed the load itself and knows it exactly, so
/// that the least loaded upstream is the best choice.
constexpr double kOwnLoadMajority = 0.5;
/// Minimum assumed free fraction of an upstream's slots: load reports are delayed, and an upstream
/// that all daemons avoid becomes idle before they learn of it. With 0.03 the load on the slow
/// upstream of the replay oscillated and 0.5% of requests were rejected; with 0.2 it did not.
constexpr double kMinFreeFraction = 0.2;

/// Time for which a newly listed upstream may copy prefixes from others, until requests have filled
/// its cache.
constexpr Millis kCacheFillTime{15'000};

enum class Tier { healthy, ejected, unlisted, ineligible };

/// Hash of upstream and key, in [0, 1).
double hashScore(const UpstreamEntry& entry, const std::string& key) {
  return hashFraction(entry.record.id.str(), stableHash(key));
}

/// Rendezvous score of an upstream for the hash of an affinity key: it is the highest for a
/// fraction of the keys that is proportional to the upstream's weight. A score that is not above
/// \p least is returned as minus infinity: few logarithms have to be computed.
double affinityScore(const UpstreamEntry& entry, std::uint64_t key,
                     double least = -std::numeric_limits<double>::infinity()) {
  const double fraction = hashFraction(entry.record.id.str(), key);
  // An upper bound, as the logarithm is concave.
  if ((fraction - 1) / entry.estimate.weight <= least)
    return -std::numeric_limits<double>::infinity();
  return std::log(fraction) / entry.estimate.weight;
}

Tier tierOf(const UpstreamTable& table, const UpstreamEntry& entry,
            const UpstreamCriteria& criteria, Instant now) {
  if (entry.record.service != criteria.service) return Tier::ineligible;
  if (entry.record.state == UpstreamState::draining) return Tier::ineligible;
  if (now < entry.backoffUntil) return Tier::ineligible;
  if (criteria.tried.contains(entry.record.id)) return Tier::ineligible;
  if (criteria.version && !table.runsVersion(entry, *criteria.version, now))
    return Tier::ineligible;
  // A stream that must continue at its version does so whatever is excluded.
  const bool excluded = criteria.excludedVersions.contains(entry.record.version) ||
                        criteria.excludedUpstreams.contains(entry.record.id);
  if (excluded && !criteria.version) return Tier::ineligible;
  if (!table.limits().maySend(entry.record.id, now)) return Tier::ineligible;
  if (entry.unlistedSince) {
    return now - *entry.unlistedSince <= kUsableAfterUnlisted ? Tier::unlisted : Tier::ineligible;
  }
  const bool ejected =
      now < entry.ejectedUntil || table.domainUnreachable(entry.record.domain, now);
  return ejected ? Tier::ejected : Tier::healthy;
}

/// An upstream below the load bound and its rendezvous score for an affinity key.
struct Candidate {
  const UpstreamEntry* entry = nullptr;
  double score = -std::numeric_limits<double>::infinity();
};

/// The upstreams with the highest scores for an affinity key, highest first.
using AffinityCandidates = std::array<Candidate, kMaxAffinityCandidates>;

void insertByRank(AffinityCandidates& candidates, Candidate candidate) {
  for (Candidate& ranked : candidates) {
    if (candidate.score > ranked.score) std::swap(ranked, candidate);
  }
}

/// Whether the upstream is expected to accept the request at once and to hold its prompt.
bool hasRoom(const UpstreamEntry& entry, const UpstreamCriteria& criteria) {
  if (entry.room > 0 && entry.load() >= entry.room) return false;
  if (entry.memoryTokens == 0) return true;
  return entry.memoryInUse() + criteria.promptTokens <= entry.memoryTokens;
}

/// Prompt tokens processed per millisecond; 1 if unknown, so that times are token counts.
double speedOf(const UpstreamEntry& entry) {
  return entry.estimate.workPerMs > 0 ? entry.estimate.workPerMs : 1;
}

/// Time until a prompt has been processed, with \p recomputed shared tokens.
double promptTime(const UpstreamEntry& entry, const UpstreamCriteria& criteria, double recomputed) {
  const std::uint64_t own =
      criteria.promptTokens - std::min(criteria.promptTokens, criteria.sharedTokens);
  const auto tokens = static_cast<double>(entry.pendingPrefillTokens() + own);
  return (tokens + recomputed) / speedOf(entry);
}

bool meetsObjective(const UpstreamEntry& entry, const UpstreamCriteria& criteria, double recomputed,
                    double objectives = 1) {
  return promptTime(entry, criteria, recomputed) <=
         objectives * static_cast<double>(criteria.objective.count());
}

/// The candidates for an affinity key among the upstreams below the load bound. Only those with
/// room, if \p needsRoom.
AffinityCandidates rankByAffinity(std::span<const UpstreamEntry* const> entries,
                                  const UpstreamCriteria& criteria, bool needsRoom) {
  double load = 0;
  double weight = 0;
  for (const UpstreamEntry* entry : entries) {
    load += entry->load();
    weight += entry->estimate.weight;
  }
  const double boundPerWeight = kLoadBound * load / weight;
  const std::uint64_t key = stableHash(criteria.affinity);
  AffinityCandidates candidates;
  for (const UpstreamEntry* entry : entries) {
    if (entry->load() > boundPerWeight * entry->estimate.weight + kLoadSlack) continue;
    if (needsRoom && !hasRoom(*entry, criteria)) continue;
    insertByRank(candidates, {entry, affinityScore(*entry, key, candidates.back().score)});
  }
  return candidates;
}

/// Whether a slow upstream gets a request by which its speed is measured, although another one
/// would respond earlier: the request is still expected to be on time.
bool measuresSlowUpstream(const UpstreamEntry& entry, const UpstreamCriteria& criteria) {
  return entry.estimate.relativeSpeed <= kSlowSpeed && meetsObjective(entry, criteria, 0) &&
         hashFraction(criteria.requestId) < kMeasuredFraction;
}

/// The first of the further candidates that would respond within the objective; null if none.
const UpstreamEntry* pickFurther(const AffinityCandidates& candidates,
                                 const UpstreamCriteria& criteria) {
  const auto shared = static_cast<double>(criteria.sharedTokens);
  for (const Candidate& candidate : std::span(candidates).subspan(kAffinityCandidates)) {
    if (candidate.entry == nullptr) return nullptr;
    if (meetsObjective(*candidate.entry, criteria, shared)) return candidate.entry;
  }
  return nullptr;
}

/// Whether this daemon placed most of the load itself, so that it knows it exactly.
bool placedMostLoad(std::span<const UpstreamEntry* const> entries) {
  double own = 0;
  double all = 0;
  for (const UpstreamEntry* entry : entries) {
    own += entry->own.requests;
    all += entry->load();
  }
  return own >= kOwnLoadMajority * all;
}

/// Cost, in tokens, of another upstream than the first, which lacks the shared tokens.
double recomputeTokens(std::span<const UpstreamEntry* const> entries, const UpstreamEntry& first,
                       double shared) {
  if (first.estimate.workPerMs <= 0) return kRecomputeCost * shared + kRecomputeSlackTokens;
  const double cost = placedMostLoad(entries) ? kOwnRecomputeCost : kEstimatedRecomputeCost;
  return cost * shared + kEstimatedSlackTokens;
}

const UpstreamEntry* pickByAffinity(std::span<const UpstreamEntry* const> entries,
                                    const UpstreamCriteria& criteria) {
  AffinityCandidates candidates = rankByAffinity(entries, criteria, true);
  if (candidates.front().entry == nullptr) candidates = rankByAffinity(entries, criteria, false);
  const UpstreamEntry* const first = candidates.front().entry;
  if (measuresSlowUpstream(*first, criteria)) return first;
  const UpstreamEntry* best = first;
  double bestTime = promptTime(*first, criteria, 0);
  const auto shared = static_cast<double>(criteria.sharedTokens);
  const double recomputeCost = recomputeTokens(entries, *first, shared);
  for (const Candidate& candidate : std::span(candidates).first(kAffinityCandidates)) {
    if (candidate.entry == nullptr || candidate.entry == first) continue;
    const double time = promptTime(*candidate.entry, criteria, recomputeCost);
    if (time >= bestTime) continue;
    best = candidate.entry;
    bestTime = time;
  }
  const bool known = best->estimate.workPerMs > 0 && criteria.objective > Millis(0);
  if (!known || meetsObjective(*best, criteria, best == first ? 0 : shared, kFurtherObjectives))
    return best;
  const UpstreamEntry* further = pickFurther(candidates, criteria);
  return further != nullptr ? further : best;
}

double slotsOf(const UpstreamEntry& entry) {
  return std::max<std::uint32_t>(1, entry.record.slots);
}

/// Occupied fraction of an upstream's slots, plus the cost of another failure domain.
double occupancy(const UpstreamEntry& entry, const UpstreamCriteria& criteria, double requests) {
  const double remoteCost = entry.record.domain == criteria.ownDomain ? 0 : kRemoteDomainCost;
  return requests / slotsOf(entry) + remoteCost;
}

/// The first entry of minimal \p cost; \p entries is not empty.
template <typename Cost>
const UpstreamEntry* cheapest(std::span<const UpstreamEntry* const> entries, Cost cost) {
  const UpstreamEntry* best = entries.front();
  double bestCost = cost(*best);
  for (const UpstreamEntry* entry : entries.subspan(1)) {
    const double entryCost = cost(*entry);
    if (entryCost >= bestCost) continue;
    best = entry;
    bestCost = entryCost;
  }
  return best;
}

const UpstreamEntry* pickLeastLoaded(std::span<const UpstreamEntry* const> entries,
                                     const UpstreamCriteria& criteria) {
  return cheapest(entries, [&](const UpstreamEntry& entry) {
    // The hash score is less than one request, so it only breaks ties.
    return occupancy(entry, criteria, entry.load() + hashScore(entry, criteria.requestId));
  });
}

/// Random choice weighted by free slots. Load reports from peers are delayed, so daemons that all
/// chose the least loaded upstream would overload it until the next report. In virtual time with
/// 295 daemons and five upstreams of six slots, half of them occupied, the least loaded choice
/// rejected 0.4% of requests with a 95th percentile wait of 168 ms, the weighted choice none with
/// 16 ms; with one upstream at a third of its speed, 1.2% and 355 ms against none and 66 ms.
const UpstreamEntry* pickByFreeSlots(std::span<const UpstreamEntry* const> entries,
                                     const UpstreamCriteria& criteria) {
  return cheapest(entries, [&](const UpstreamEntry& entry) {
    const double freeFraction =
        std::max(kMinFreeFraction, 1 - occupancy(entry, criteria, entry.load()));
    return weightedHashRank(entry.record.id.str(), stableHash(criteria.requestId),
                            freeFraction * slotsOf(entry) * entry.estimate.weight);
  });
}

const UpstreamEntry* pickByLoad(std::span<const UpstreamEntry* const> entries,
                                const UpstreamCriteria& criteria) {
  return placedMostLoad(entries) ? pickLeastLoaded(entries, criteria)
                                 : pickByFreeSlots(entries, criteria);
}

}  // namespace

const UpstreamEntry* pickUpstream(const UpstreamTable& table, const UpstreamCriteria& criteria,
                                  Instant now) {
  std::vector<const UpstreamEntry*> eligible;
  Tier best = Tier::ineligible;
  for (const auto& [id, entry] : table.entries()) {
    const Tier tier = tierOf(table, entry, criteria, now);
    if (tier == Tier::ineligible || tier > best) continue;
    if (tier < best) eligible.clear();
    best = tier;
    eligible.push_back(&entry);
  }
  if (eligible.empty()) return nullptr;
  if (best == Tier::healthy) {
    for (const UpstreamEntry* entry : eligible) {
      if (table.limits().needsConfirmation(entry->record.id, now)) return entry;
    }
  }
  return criteria.affinity.empty() ? pickByLoad(eligible, criteria)
                                   : pickByAffinity(eligible, criteria);
}

std::optional<PredictedStart> predictStart(const UpstreamTable& table,
                                           const UpstreamCriteria& criteria,
                                           std::uint64_t promptTokens, Instant now) {
  const UpstreamEntry* upstream = pickUpstream(table, criteria, now);
  if (upstream == nullptr) return std::nullopt;
  const std::uint64_t tokens = tokensToProcess(table, criteria, promptTokens, *upstream, now);
  return PredictedStart{upstream, table.predictedQueueDelay(*upstream),
                        table.predictedFirstEvent(*upstream, tokens)};
}

std::uint64_t tokensToProcess(const UpstreamTable& table, const UpstreamCriteria& criteria,
                              std::uint64_t promptTokens, const UpstreamEntry& chosen,
                              Instant now) {
  if (!table.usesEstimates() || criteria.affinity.empty()) return promptTokens;
  if (promptTokens <= criteria.sharedTokens) return promptTokens;
  const bool cached = cacheSource(table, criteria, chosen, now) == nullptr;
  return cached ? promptTokens - criteria.sharedTokens : promptTokens;
}

const UpstreamEntry* cacheSource(const UpstreamTable& table, const UpstreamCriteria& criteria,
                                 const UpstreamEntry& chosen, Instant now) {
  const bool recentlyListed = now - chosen.listedSince < kCacheFillTime;
  const std::uint64_t key = stableHash(criteria.affinity);
  const double chosenScore = affinityScore(chosen, key);
  const UpstreamEntry* best = nullptr;
  double bestScore = -std::numeric_limits<double>::infinity();
  for (const auto& [id, entry] : table.entries()) {
    if (id == chosen.record.id || entry.record.service != criteria.service) continue;
    // A draining upstream still serves cache exports.
    if (entry.unlistedSince || now < entry.ejectedUntil || now < entry.backoffUntil) continue;
    if (table.domainUnreachable(entry.record.domain, now)) continue;
    const double least = recentlyListed ? bestScore : std::max(bestScore, chosenScore);
    const double score = affinityScore(entry, key, least);
    const bool rankedBefore =
        recentlyListed ? entry.listedSince < chosen.listedSince : score > chosenScore;
    if (!rankedBefore || score <= bestScore) continue;
    best = &entry;
    bestScore = score;
  }
  return best;
}

}  // namespace Hallchute
