// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/StoreFreshness.h"

#include <algorithm>

#include "Hallchute/src/Fleet/FleetReport.h"

namespace Hallchute {
namespace {

/// News passes two relays, a report period each: older than this it isn't just on its way.
constexpr Millis kOldAfter{1'000};
/// The shortest outage in which an upstream's entry can lapse, by three of its heartbeats of 1.2 s
/// of which one may have been due just before. Daemons that start pause for less.
constexpr Millis kLapsesAfter{2'400};
/// A daemon whose peers have heard nothing for so long asks the store itself. A new relay takes a
/// heartbeat's silence and a list to be in contact; before that many calls would be for nothing.
constexpr Millis kProbeAfter{2'500};
/// Between two snapshots asked for, while changes come in series; what leaves is told at once by
/// the reports themselves.
constexpr Millis kAskPause{400};
/// A daemon that watches hears the same as its peers at about the same time; one that is behind for
/// longer has a watch that hangs.
constexpr Millis kWatchLag{600};

bool isAhead(const FleetReport& report, const StoreState& own) {
  return report.settingsVersion > own.settingsVersion ||
         report.upstreamsVersion > own.upstreamsVersion;
}

}  // namespace

StoreFreshness::StoreFreshness(Instant started)
    : started_(started), heard_(started - kUnknownAge), toldAway_(heard_) {}

bool StoreFreshness::noteReport(const FleetReport& report, const StoreState& own, Instant now) {
  const bool away = age(own, now) > kOldAfter;
  heard_ = std::max(heard_, now - report.storeAge);
  newestSettings_ = std::max(newestSettings_, report.settingsVersion);
  // Peers that have just started know nothing of an outage.
  if (report.storeAge > kLapsesAfter && report.storeAge < kUnknownAge) toldAway_ = now;
  // Without peers that said so, this daemon was out of reach and the store may have been there.
  return away && age(own, now) <= kOldAfter && now - toldAway_ <= kOldAfter;
}

Millis StoreFreshness::age(const StoreState& own, Instant now) const {
  if (own.inContact) return Millis(0);
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(now - heard_));
}

bool StoreFreshness::mayBeStale(const StoreState& own, Instant now) const {
  return own.settingsVersion < newestSettings_ || age(own, now) > kOldAfter;
}

bool StoreFreshness::wasUnreachable(Instant now) const {
  return now - heard_ > kOldAfter;
}

FollowMode StoreFreshness::mode(bool follows, const StoreState& own, Instant now) const {
  if (follows) return FollowMode::following;
  const bool lost = now - std::max(heard_, started_) > kProbeAfter || own.settingsVersion == 0;
  return lost ? FollowMode::probing : FollowMode::off;
}

std::optional<std::string> StoreFreshness::snapshotPeer(const StoreState& own,
                                                        std::span<const FleetReport* const> reports,
                                                        Instant now) {
  const FleetReport* best = nullptr;
  for (const FleetReport* report : reports) {
    if (!isAhead(*report, own)) continue;
    const bool newer = best == nullptr || report->settingsVersion > best->settingsVersion ||
                       (report->settingsVersion == best->settingsVersion &&
                        report->upstreamsVersion > best->upstreamsVersion);
    if (newer) best = report;
  }
  const bool moved = behindAt_.settingsVersion != own.settingsVersion ||
                     behindAt_.upstreamsVersion != own.upstreamsVersion;
  if (best == nullptr || moved) behindSince_.reset();
  behindAt_ = own;
  if (best == nullptr) return std::nullopt;
  if (!behindSince_) behindSince_ = now;
  if (own.inContact && now - *behindSince_ < kWatchLag) return std::nullopt;
  if (now - asked_ < kAskPause) return std::nullopt;
  asked_ = now;
  return best->self.address;
}

}  // namespace Hallchute
