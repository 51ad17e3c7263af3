// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/CrashLedger.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Gateway/CrashSuspects.h"

namespace Hallchute {
namespace {

/// How long a changed history is reported: several report periods, so that a lost report loses
/// nothing.
constexpr Millis kReportTime{1'000};
/// How often all histories with more than one crash are reported.
constexpr Millis kListInterval{1'000};
/// Crashes from which on a history is part of that list: single crashes are many and mostly
/// accidental.
constexpr std::size_t kListedCrashes = 2;
/// Crashes kept of one content, refuted ones included.
constexpr std::size_t kMaxKept = 8;

}  // namespace

std::size_t CrashLedger::limitFor(std::size_t live, std::size_t expected) {
  if (live >= expected) return kMaxCrashes;
  const std::size_t share = (kMaxCrashes * live + expected - 1) / expected;
  return std::max<std::size_t>(1, share);
}

/// \returns whether \p crash or its refutation was unknown here, or its refutation is unknown to
/// the reporting daemon, so that the history is to be reported.
bool CrashLedger::addCrash(CrashHistory& history, const UpstreamCrash& crash) {
  auto& crashes = history.crashes;
  const auto known = std::find_if(crashes.begin(), crashes.end(),
                                  [&](const auto& c) { return c.upstream == crash.upstream; });
  if (known != crashes.end()) {
    const bool differs = known->refuted != crash.refuted;
    known->refuted = known->refuted || crash.refuted;
    return differs;
  }
  // More crashes of what isn't even tried say nothing new.
  if (!crash.refuted && history.count() >= kMaxCrashes + kTrialCrashes) return false;
  if (crashes.size() >= kMaxKept) {
    const auto refuted =
        std::find_if(crashes.begin(), crashes.end(), [](const auto& c) { return c.refuted; });
    if (refuted == crashes.end()) return false;
    crashes.erase(refuted);
  }
  crashes.push_back(crash);
  return true;
}

CrashLedger::Entry& CrashLedger::entryOf(RequestFingerprint content, Instant now) {
  if (entries_.size() >= kMaxContents && !entries_.contains(content)) evictOldest();
  Entry& entry = entries_[content];
  entry.history.content = content;
  if (entry.changedAt == Instant{}) entry.changedAt = now;
  return entry;
}

/// Removes the quarter of the contents that changed least recently, those in quarantine last.
void CrashLedger::evictOldest() {
  using Key = std::pair<bool, Instant>;
  std::vector<std::pair<Key, RequestFingerprint>> ranked;
  ranked.reserve(entries_.size());
  for (const auto& [content, entry] : entries_) {
    ranked.push_back({{entry.history.count() >= limit_, entry.changedAt}, content});
  }
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(ranked.size() / 4);
  std::nth_element(ranked.begin(), end, ranked.end());
  for (auto it = ranked.begin(); it != end; ++it) entries_.erase(it->second);
}

bool CrashLedger::noteCrash(RequestFingerprint content, const UpstreamIncarnation& upstream,
                            Instant now) {
  Entry& entry = entryOf(content, now);
  const bool before = entry.history.count() >= limit_;
  if (!addCrash(entry.history, {upstream, false})) return false;
  entry.changedAt = now;
  entry.observedAt = now;
  return !before && entry.history.count() >= limit_;
}

std::vector<RequestFingerprint> CrashLedger::noteCrash(const CrashSuspects& suspects,
                                                       const UpstreamIncarnation& upstream,
                                                       Instant now) {
  std::vector<RequestFingerprint> added;
  if (noteCrash(suspects.content, upstream, now)) added.push_back(suspects.content);
  for (const RequestFingerprint part : suspects.parts) {
    if (!cleared(part, now) && noteCrash(part, upstream, now)) added.push_back(part);
  }
  return added;
}

void CrashLedger::refute(Entry& entry, Instant now) {
  if (entry.history.count() == 0) return;
  for (UpstreamCrash& crash : entry.history.crashes) crash.refuted = true;
  entry.changedAt = now;
  entry.observedAt = now;
}

void CrashLedger::noteCompleted(RequestFingerprint content, Instant now) {
  const auto it = entries_.find(content);
  if (it != entries_.end()) refute(it->second, now);
}

void CrashLedger::noteBegan(std::span<const RequestFingerprint> parts, Instant now) {
  for (const RequestFingerprint part : parts) {
    if (clearedAt_.size() >= kMaxCleared && !clearedAt_.contains(part)) evictCleared();
    clearedAt_[part] = now;
    noteCompleted(part, now);
  }
}

bool CrashLedger::cleared(RequestFingerprint part, Instant now) const {
  const auto it = clearedAt_.find(part);
  return it != clearedAt_.end() && now - it->second < kClearedTime;
}

/// Removes the older half.
void CrashLedger::evictCleared() {
  std::vector<Instant> times;
  times.reserve(clearedAt_.size());
  for (const auto& [part, at] : clearedAt_) times.push_back(at);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(clearedAt_, [last = *middle](const auto& item) { return item.second <= last; });
}

std::vector<CrashHistory> CrashLedger::merge(std::span<const CrashHistory> histories, Instant now) {
  std::vector<CrashHistory> added;
  for (const CrashHistory& reported : histories) {
    Entry& entry = entryOf(reported.content, now);
    const bool before = entry.history.count() >= limit_;
    for (const UpstreamCrash& crash : reported.crashes) {
      if (addCrash(entry.history, crash)) entry.changedAt = now;
    }
    // The others may not know that answers begin with it.
    if (cleared(reported.content, now)) refute(entry, now);
    if (!before && entry.history.count() >= limit_) added.push_back(entry.history);
  }
  return added;
}

const CrashHistory* CrashLedger::quarantined(RequestFingerprint content) const {
  const auto it = entries_.find(content);
  if (it == entries_.end() || it->second.history.count() < limit_) return nullptr;
  return &it->second.history;
}

const CrashHistory* CrashLedger::quarantined(const CrashSuspects& suspects) const {
  const CrashHistory* history = quarantined(suspects.content);
  for (const RequestFingerprint part : suspects.parts) {
    if (history == nullptr) history = quarantined(part);
  }
  return history;
}

/// A part of the fleet that the rest can't reach makes no trials: each would count for the fleet.
bool CrashLedger::mayTry(const Entry& entry, std::int64_t period) const {
  if (limit_ < kMaxCrashes || entry.history.count() >= kMaxCrashes + kTrialCrashes) return false;
  if (entry.triedIn == period || !fleet_.active || fleet_.members.empty()) return false;
  const std::uint64_t first =
      stableHash(std::to_string(period), static_cast<std::uint64_t>(entry.history.content));
  const std::size_t daemons = fleet_.members.size();
  return (first + fleet_.self) % daemons < kTrialDaemons;
}

bool CrashLedger::takeTrial(const CrashSuspects& suspects, Instant now) {
  if (quarantined(suspects.content) != nullptr) return false;
  const auto sharedClock =
      std::chrono::duration_cast<Millis>(now.time_since_epoch()) + fleet_.clockOffset;
  const std::int64_t period = sharedClock / kTrialPeriod;
  std::vector<Entry*> tried;
  for (const RequestFingerprint part : suspects.parts) {
    if (quarantined(part) == nullptr) continue;
    Entry& entry = entries_.at(part);
    if (!mayTry(entry, period)) return false;
    tried.push_back(&entry);
  }
  for (Entry* entry : tried) entry->triedIn = period;
  return true;
}

std::vector<CrashHistory> CrashLedger::report(bool forwards, Instant now) {
  const bool lists = forwards && now - listedAt_ >= kListInterval;
  if (lists) listedAt_ = now;
  std::vector<const CrashHistory*> chosen;
  for (const auto& [content, entry] : entries_) {
    const Instant changed = forwards ? entry.changedAt : entry.observedAt;
    const bool recent = changed != Instant{} && now - changed <= kReportTime;
    if (recent || (lists && entry.history.count() >= kListedCrashes)) {
      chosen.push_back(&entry.history);
    }
  }
  if (chosen.size() > kMaxReported) {
    const auto end = chosen.begin() + kMaxReported;
    std::nth_element(chosen.begin(), end, chosen.end(),
                     [](const auto* a, const auto* b) { return a->count() > b->count(); });
    chosen.erase(end, chosen.end());
  }
  std::vector<CrashHistory> histories;
  histories.reserve(chosen.size());
  for (const CrashHistory* history : chosen) histories.push_back(*history);
  return histories;
}

std::vector<CrashHistory> CrashLedger::historiesToStore() const {
  std::vector<const Entry*> chosen;
  for (const auto& [content, entry] : entries_) {
    if (entry.history.count() > 0) chosen.push_back(&entry);
  }
  if (chosen.size() > kMaxStored) {
    const auto end = chosen.begin() + kMaxStored;
    const auto goesFirst = [](const Entry* a, const Entry* b) {
      return std::pair(a->history.count(), a->changedAt) >
             std::pair(b->history.count(), b->changedAt);
    };
    std::nth_element(chosen.begin(), end, chosen.end(), goesFirst);
    chosen.erase(end, chosen.end());
  }
  std::vector<CrashHistory> histories;
  histories.reserve(chosen.size());
  for (const Entry* entry : chosen) histories.push_back(entry->history);
  std::sort(histories.begin(), histories.end(),
            [](const auto& a, const auto& b) { return a.content < b.content; });
  return histories;
}

void CrashLedger::sweep(Instant now) {
  std::erase_if(entries_,
                [&](const auto& item) { return now - item.second.changedAt > kRetention; });
  std::erase_if(clearedAt_, [&](const auto& item) { return now - item.second >= kClearedTime; });
}

}  // namespace Hallchute
