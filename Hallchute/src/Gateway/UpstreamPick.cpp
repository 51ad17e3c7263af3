// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/UpstreamPick.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <span>
#include <utility>
#include <vector>

#include "Hallchute/src/Core/StableHash.h"

namespace Hallchute {
namespace {

/// An upstream that left the directory is a last resort for this long: entries lapse while the
/// directory is away, and one that really left serves on for about two seconds.
constexpr Millis kUseAfterGone{1'500};
/// A home is left for the next one above this multiple of the mean load, and this much on top.
constexpr double kLoadBound = 1.5;
constexpr double kLoadSlack = 6;
/// How much a token that would be read again counts against one that is waited for: it holds up
/// what comes after it at the other upstream, and its room there. Of the worth that callers asked
/// for, 0.906 was served with it and 0.894 with a count of requests alone (paired plays of six days
/// on four seeds).
constexpr double kReadAgainCost = 4;
/// Tokens by which a home must be behind at least: what an engine reads in ten to sixty
/// milliseconds, less than the age of what others tell.
constexpr double kReadSlack = 2'000;
/// Upstreams that a subject may go to, the first ones in its own order: when homes are behind,
/// their subjects turn to different upstreams by the same old word, and come back to where they
/// were read. A burst of prompts before 40 engines and 295 daemons (virtual time): first event by
/// the 95th of 100 after 1,459 ms and 18% of the tokens read again where every upstream was open to
/// all; 885 ms and 10% with two, 985 ms and 13% with three.
constexpr std::size_t kHomes = 2;
/// What an upstream of another failure domain counts above its load, in parts of its slots: the
/// way there costs a few milliseconds and the bytes are paid for.
constexpr double kForeignCost = 0.15;
/// Where this daemon placed this part of the load or more itself, and so knows it exactly, the
/// least loaded upstream is the best choice.
constexpr double kMostlyOwn = 0.5;
/// The least room that an upstream counts with, in parts of its slots: its load may be old news,
/// and one that nobody turns to is empty before the others hear of it. With 0.03 the slow upstream
/// of the replay was overrun and left by turns (0.5% of requests rejected), with 0.2 it was not.
constexpr double kLeastRoom = 0.2;

/// A new upstream's cache fills as its subjects come by: for this long it may copy what it lacks.
constexpr Millis kFillTime{15'000};

enum class Tier { sound, shunned, gone, unfit };

Tier tierOf(const UpstreamTable& table, const UpstreamEntry& entry, const UpstreamCriteria& wish,
            Instant now) {
  if (entry.record.service != wish.service) return Tier::unfit;
  if (entry.record.state == UpstreamState::draining) return Tier::unfit;
  if (wish.tried.contains(entry.record.id)) return Tier::unfit;
  if (entry.unlistedSince) {
    return now - *entry.unlistedSince <= kUseAfterGone ? Tier::gone : Tier::unfit;
  }
  const bool shunned =
      now < entry.ejectedUntil || table.domainUnreachable(entry.record.domain, now);
  return shunned ? Tier::shunned : Tier::sound;
}

/// A number in [0, 1) that differs by upstream and key.
double draw(const UpstreamEntry& entry, const std::string& key) {
  return hashFraction(entry.record.id.str(), stableHash(key));
}

/// An upstream that is not too busy, and its rank for a subject.
struct Candidate {
  const UpstreamEntry* entry = nullptr;
  double drawn = -1;
};

/// The first upstreams in a subject's own order, home first.
using Homes = std::array<Candidate, kHomes>;

void insertByRank(Homes& homes, Candidate candidate) {
  for (Candidate& home : homes) {
    if (candidate.drawn > home.drawn) std::swap(home, candidate);
  }
}

const UpstreamEntry* pickHome(std::span<const UpstreamEntry* const> entries,
                              const UpstreamCriteria& wish) {
  double total = 0;
  for (const UpstreamEntry* entry : entries) total += entry->load();
  const double bound = kLoadBound * total / static_cast<double>(entries.size()) + kLoadSlack;
  Homes homes;
  for (const UpstreamEntry* entry : entries) {
    if (entry->load() <= bound) insertByRank(homes, {entry, draw(*entry, wish.affinity)});
  }
  const UpstreamEntry* best = homes.front().entry;
  const double reading = kReadAgainCost * static_cast<double>(wish.sharedTokens) + kReadSlack;
  double bestCost = static_cast<double>(best->pendingPrefillTokens());
  for (const Candidate& candidate : homes) {
    if (candidate.entry == nullptr || candidate.entry == homes.front().entry) continue;
    const double cost = static_cast<double>(candidate.entry->pendingPrefillTokens()) + reading;
    if (cost >= bestCost) continue;
    best = candidate.entry;
    bestCost = cost;
  }
  return best;
}

double slotsOf(const UpstreamEntry& entry) {
  return std::max<std::uint32_t>(1, entry.record.slots);
}

/// What of an upstream is taken, in parts of its slots, with what its distance counts.
double taken(const UpstreamEntry& entry, const UpstreamCriteria& wish, double requests) {
  const double foreign = entry.record.domain == wish.ownDomain ? 0 : kForeignCost;
  return requests / slotsOf(entry) + foreign;
}

/// The first of the entries for which \p cost is least; \p entries is not empty.
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
                                     const UpstreamCriteria& wish) {
  return cheapest(entries, [&](const UpstreamEntry& entry) {
    // The draw only breaks ties: it is worth less than one request.
    return taken(entry, wish, entry.load() + draw(entry, wish.requestId));
  });
}

/// A draw in which each upstream's chance is its free room. What others placed is old news: daemons
/// that all turned to the least loaded upstream would overrun it until the next word. 295 daemons
/// before five upstreams of six slots, half of them taken (virtual time): 0.4% of requests rejected
/// and 168 ms waited by the 95th of 100 with the least loaded one, none and 16 ms with draws; with
/// one upstream at a third of its speed 1.2% and 355 ms, none and 66 ms.
const UpstreamEntry* pickByRoom(std::span<const UpstreamEntry* const> entries,
                                const UpstreamCriteria& wish) {
  return cheapest(entries, [&](const UpstreamEntry& entry) {
    const double room = std::max(kLeastRoom, 1 - taken(entry, wish, entry.load()));
    // The first of several exponential clocks: each wins in proportion to its rate.
    return -std::log1p(-draw(entry, wish.requestId)) / (room * slotsOf(entry));
  });
}

const UpstreamEntry* pickFree(std::span<const UpstreamEntry* const> entries,
                              const UpstreamCriteria& wish) {
  double own = 0;
  double all = 0;
  for (const UpstreamEntry* entry : entries) {
    own += entry->own.requests;
    all += entry->load();
  }
  return own >= kMostlyOwn * all ? pickLeastLoaded(entries, wish) : pickByRoom(entries, wish);
}

}  // namespace

const UpstreamEntry* pickUpstream(const UpstreamTable& table, const UpstreamCriteria& wish,
                                  Instant now) {
  std::vector<const UpstreamEntry*> fit;
  Tier best = Tier::unfit;
  for (const auto& [id, entry] : table.entries()) {
    const Tier tier = tierOf(table, entry, wish, now);
    if (tier == Tier::unfit || tier > best) continue;
    if (tier < best) fit.clear();
    best = tier;
    fit.push_back(&entry);
  }
  if (fit.empty()) return nullptr;
  return wish.affinity.empty() ? pickFree(fit, wish) : pickHome(fit, wish);
}

const UpstreamEntry* cacheSource(const UpstreamTable& table, const UpstreamCriteria& wish,
                                 const UpstreamEntry& chosen, Instant now) {
  const bool fresh = now - chosen.listedSince < kFillTime;
  const double chosenDraw = draw(chosen, wish.affinity);
  const UpstreamEntry* best = nullptr;
  double bestDraw = -1;
  for (const auto& [id, entry] : table.entries()) {
    if (id == chosen.record.id || entry.record.service != wish.service) continue;
    // One that is leaving still gives its cache away.
    if (entry.unlistedSince || now < entry.ejectedUntil) continue;
    if (table.domainUnreachable(entry.record.domain, now)) continue;
    const double drawn = draw(entry, wish.affinity);
    const bool wasHome = fresh ? entry.listedSince < chosen.listedSince : drawn > chosenDraw;
    if (!wasHome || drawn <= bestDraw) continue;
    best = &entry;
    bestDraw = drawn;
  }
  return best;
}

}  // namespace Hallchute
