// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/UpstreamTable.h"

#include <algorithm>
#include <set>

namespace Hallchute {
namespace {

/// A first failure is often chance; a second in a row shuns the upstream.
constexpr std::uint32_t kFailuresToShun = 2;
/// The first time away from an upstream; it doubles with each further failure.
constexpr Millis kFirstShun{400};
constexpr Millis kLongestShun{3'200};
/// How long a refused connection keeps work away: the process is likely to be restarting.
constexpr Millis kUnreachableShun{600};
/// Two different upstreams of a domain out of reach within this time: the domain is cut off.
constexpr Millis kSameCut{1'000};
/// How long a domain that is cut off is passed over before one request tries it again.
constexpr Millis kDomainShun{600};
/// A full upstream gets a short rest.
constexpr Millis kRejectedShun{50};
/// How long an upstream that left the directory is remembered.
constexpr Millis kForgetAfter{10'000};

}  // namespace

std::string_view describe(DispatchResult result) {
  switch (result) {
    case DispatchResult::answered:
      return "answered";
    case DispatchResult::rejected:
      return "rejected";
    case DispatchResult::unreachable:
      return "unreachable";
    case DispatchResult::broken:
      return "broken";
    case DispatchResult::silent:
      return "silent";
    case DispatchResult::failed:
      return "failed";
    case DispatchResult::abandoned:
      return "abandoned";
  }
  return "";
}

std::vector<UpstreamId> UpstreamTable::replace(std::span<const UpstreamRecord> records,
                                               Instant now) {
  std::set<UpstreamId> listed;
  std::vector<UpstreamId> gone;
  const bool first = entries_.empty();
  for (const UpstreamRecord& record : records) {
    listed.insert(record.id);
    UpstreamEntry& entry = entries_[record.id];
    const bool known = !entry.record.id.empty();
    const std::uint64_t before = entry.record.incarnation;
    const bool restarted = known && record.incarnation > 0 && record.incarnation != before;
    if (restarted) {
      gone.push_back(record.id);
      UpstreamEntry fresh;
      fresh.leaving = entry.leaving;
      entry = std::move(fresh);
    }
    if ((!known && !first) || restarted) entry.listedSince = now;
    entry.record = record;
    if (!restarted && record.incarnation == 0) entry.record.incarnation = before;
    entry.unlistedSince.reset();
    // One that once said that it leaves doesn't come back as the same process.
    const bool left = entry.leaving == entry.record.incarnation;
    if (left) entry.record.state = UpstreamState::draining;
    if (entry.record.state == UpstreamState::draining) entry.leaving = entry.record.incarnation;
  }
  for (auto& [id, entry] : entries_) {
    if (listed.contains(id) || entry.unlistedSince) continue;
    entry.unlistedSince = now;
    gone.push_back(id);
  }
  return gone;
}

void UpstreamTable::noteDraining(const UpstreamId& upstream, std::uint64_t incarnation) {
  const auto it = entries_.find(upstream);
  if (it == entries_.end()) return;
  UpstreamEntry& entry = it->second;
  const std::uint64_t present = entry.record.incarnation;
  // A late word on the process before; one of a later process means that this one has ended.
  if (incarnation > 0 && incarnation < present) return;
  entry.leaving = incarnation > 0 ? incarnation : present;
  entry.record.state = UpstreamState::draining;
}

UpstreamEntry* UpstreamTable::findIncarnation(const UpstreamId& upstream,
                                              std::optional<std::uint64_t> incarnation) {
  const auto it = entries_.find(upstream);
  if (it == entries_.end()) return nullptr;
  const bool present = !incarnation || *incarnation == it->second.record.incarnation;
  return present ? &it->second : nullptr;
}

void UpstreamTable::noteDispatched(const UpstreamId& upstream, std::uint64_t promptTokens) {
  const auto it = entries_.find(upstream);
  if (it != entries_.end()) it->second.own += {1, promptTokens};
}

void UpstreamTable::notePromptDone(const UpstreamId& upstream, std::uint64_t promptTokens,
                                   std::optional<std::uint64_t> incarnation) {
  UpstreamEntry* const entry = findIncarnation(upstream, incarnation);
  if (entry == nullptr) return;
  std::uint64_t& unread = entry->own.pendingPrefillTokens;
  unread -= std::min(unread, promptTokens);
}

void UpstreamTable::noteFailure(UpstreamEntry& entry, Instant now) {
  ++entry.consecutiveFailures;
  if (entry.consecutiveFailures < kFailuresToShun) return;
  Millis shun = kFirstShun;
  for (std::uint32_t i = kFailuresToShun; i < entry.consecutiveFailures && shun < kLongestShun;
       ++i) {
    shun *= 2;
  }
  entry.ejectedUntil = now + std::min(shun, kLongestShun);
}

void UpstreamTable::noteEnded(const UpstreamId& upstream, DispatchResult result, Instant now,
                              std::optional<std::uint64_t> incarnation) {
  UpstreamEntry* const found = findIncarnation(upstream, incarnation);
  if (found == nullptr) return;
  UpstreamEntry& entry = *found;
  if (entry.own.requests > 0) --entry.own.requests;
  switch (result) {
    case DispatchResult::answered:
      troubles_.erase(entry.record.domain);
      entry.consecutiveFailures = 0;
      entry.ejectedUntil = {};
      return;
    case DispatchResult::rejected:
      entry.ejectedUntil = std::max(entry.ejectedUntil, now + kRejectedShun);
      return;
    case DispatchResult::unreachable:
      entry.ejectedUntil = std::max(entry.ejectedUntil, now + kUnreachableShun);
      noteFailure(entry, now);
      noteUnreachable(entry, now);
      return;
    case DispatchResult::broken:
    case DispatchResult::silent:
    case DispatchResult::failed:
      noteFailure(entry, now);
      return;
    case DispatchResult::abandoned:
      return;
  }
}

void UpstreamTable::noteUnreachable(const UpstreamEntry& entry, Instant now) {
  DomainTrouble& trouble = troubles_[entry.record.domain];
  const bool another = !trouble.last.empty() && trouble.last != entry.record.id;
  if (another && now - trouble.at <= kSameCut) trouble.until = now + kDomainShun;
  trouble.last = entry.record.id;
  trouble.at = now;
}

bool UpstreamTable::domainUnreachable(const DomainName& domain, Instant now) const {
  const auto it = troubles_.find(domain);
  return it != troubles_.end() && now < it->second.until;
}

void UpstreamTable::noteAddressReused(const UpstreamId& upstream, Instant now) {
  const auto it = entries_.find(upstream);
  if (it != entries_.end() && !it->second.unlistedSince)
    it->second.unlistedSince = now - kForgetAfter;
}

void UpstreamTable::setPeerLoads(const UpstreamLoads& loads) {
  for (auto& [id, entry] : entries_) {
    const auto it = loads.find(id);
    entry.peerLoad = it == loads.end() ? UpstreamLoad{} : it->second;
  }
}

void UpstreamTable::sweep(Instant now) {
  std::erase_if(entries_, [&](const auto& item) {
    const UpstreamEntry& entry = item.second;
    return entry.unlistedSince && entry.own.requests == 0 &&
           now - *entry.unlistedSince > kForgetAfter;
  });
}

const UpstreamEntry* UpstreamTable::find(const UpstreamId& upstream) const {
  const auto it = entries_.find(upstream);
  return it == entries_.end() ? nullptr : &it->second;
}

UpstreamLoads UpstreamTable::ownLoads() const {
  UpstreamLoads loads;
  for (const auto& [id, entry] : entries_) {
    if (entry.own.requests > 0) loads[id] = entry.own;
  }
  return loads;
}

}  // namespace Hallchute
