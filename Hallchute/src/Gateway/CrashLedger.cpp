// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/CrashLedger.h"

#include <algorithm>
#include <utility>

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
  // More crashes of a content in quarantine say nothing new.
  if (!crash.refuted && history.count() >= kMaxCrashes) return false;
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

void CrashLedger::noteCompleted(RequestFingerprint content, Instant now) {
  const auto it = entries_.find(content);
  if (it == entries_.end() || it->second.history.count() == 0) return;
  for (UpstreamCrash& crash : it->second.history.crashes) crash.refuted = true;
  it->second.changedAt = now;
  it->second.observedAt = now;
}

std::vector<CrashHistory> CrashLedger::merge(std::span<const CrashHistory> histories, Instant now) {
  std::vector<CrashHistory> added;
  for (const CrashHistory& reported : histories) {
    Entry& entry = entryOf(reported.content, now);
    const bool before = entry.history.count() >= limit_;
    for (const UpstreamCrash& crash : reported.crashes) {
      if (addCrash(entry.history, crash)) entry.changedAt = now;
    }
    if (!before && entry.history.count() >= limit_) added.push_back(entry.history);
  }
  return added;
}

const CrashHistory* CrashLedger::quarantined(RequestFingerprint content) const {
  const auto it = entries_.find(content);
  if (it == entries_.end() || it->second.history.count() < limit_) return nullptr;
  return &it->second.history;
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
}

}  // namespace Hallchute
