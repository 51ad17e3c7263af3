// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/UpstreamPick.h"

#include <algorithm>
#include <array>
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
/// Upstreams considered for an affinity key, in its rendezvous order. With a backlog at the first
/// choices, daemons act on the same outdated load reports; a small number spreads keys over
/// different upstreams and returns them to where their prefix is cached. In a virtual-time burst of
/// prompts at 40 engines and 295 daemons, the 95th percentile time to the first event was 1,459 ms
/// with 18% of the tokens recomputed without this limit, 885 ms and 10% with two, 985 ms and 13%
/// with three.
constexpr std::size_t kAffinityCandidates = 2;
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
  double score = -1;
};

/// The upstreams with the highest scores for an affinity key, highest first.
using AffinityCandidates = std::array<Candidate, kAffinityCandidates>;

void insertByRank(AffinityCandidates& candidates, Candidate candidate) {
  for (Candidate& ranked : candidates) {
    if (candidate.score > ranked.score) std::swap(ranked, candidate);
  }
}

const UpstreamEntry* pickByAffinity(std::span<const UpstreamEntry* const> entries,
                                    const UpstreamCriteria& criteria) {
  double total = 0;
  for (const UpstreamEntry* entry : entries) total += entry->load();
  const double bound = kLoadBound * total / static_cast<double>(entries.size()) + kLoadSlack;
  AffinityCandidates candidates;
  for (const UpstreamEntry* entry : entries) {
    if (entry->load() <= bound)
      insertByRank(candidates, {entry, hashScore(*entry, criteria.affinity)});
  }
  const UpstreamEntry* best = candidates.front().entry;
  const double recomputeCost =
      kRecomputeCost * static_cast<double>(criteria.sharedTokens) + kRecomputeSlackTokens;
  double bestCost = static_cast<double>(best->pendingPrefillTokens());
  for (const Candidate& candidate : candidates) {
    if (candidate.entry == nullptr || candidate.entry == candidates.front().entry) continue;
    const double cost =
        static_cast<double>(candidate.entry->pendingPrefillTokens()) + recomputeCost;
    if (cost >= bestCost) continue;
    best = candidate.entry;
    bestCost = cost;
  }
  return best;
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
                            freeFraction * slotsOf(entry));
  });
}

const UpstreamEntry* pickByLoad(std::span<const UpstreamEntry* const> entries,
                                const UpstreamCriteria& criteria) {
  double own = 0;
  double all = 0;
  for (const UpstreamEntry* entry : entries) {
    own += entry->own.requests;
    all += entry->load();
  }
  return own >= kOwnLoadMajority * all ? pickLeastLoaded(entries, criteria)
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
  return PredictedStart{upstream, table.predictedQueueDelay(*upstream),
                        table.predictedFirstEvent(*upstream, promptTokens)};
}

const UpstreamEntry* cacheSource(const UpstreamTable& table, const UpstreamCriteria& criteria,
                                 const UpstreamEntry& chosen, Instant now) {
  const bool recentlyListed = now - chosen.listedSince < kCacheFillTime;
  const double chosenScore = hashScore(chosen, criteria.affinity);
  const UpstreamEntry* best = nullptr;
  double bestScore = -1;
  for (const auto& [id, entry] : table.entries()) {
    if (id == chosen.record.id || entry.record.service != criteria.service) continue;
    // A draining upstream still serves cache exports.
    if (entry.unlistedSince || now < entry.ejectedUntil || now < entry.backoffUntil) continue;
    if (table.domainUnreachable(entry.record.domain, now)) continue;
    const double score = hashScore(entry, criteria.affinity);
    const bool rankedBefore =
        recentlyListed ? entry.listedSince < chosen.listedSince : score > chosenScore;
    if (!rankedBefore || score <= bestScore) continue;
    best = &entry;
    bestScore = score;
  }
  return best;
}

}  // namespace Hallchute
