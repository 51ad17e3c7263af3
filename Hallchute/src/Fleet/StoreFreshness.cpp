// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/StoreFreshness.h"

#include <algorithm>

#include "Hallchute/src/Fleet/FleetReport.h"

namespace Hallchute {
namespace {

/// Store contact older than this isn't explained by propagation through two relays, one report
/// period each.
constexpr Millis kStaleAfter{1'000};
/// The shortest outage in which an upstream's entry can expire: it expires after three missed
/// heartbeats of 1.2 s, the first of which may be due right at the start. Longer than the pause of
/// starting daemons.
constexpr Millis kEntryLapse{2'400};
/// Time without store contact of any peer after which a daemon calls the store itself. A new relay
/// needs a heartbeat timeout and a list call to get in contact; probing earlier would waste many
/// calls.
constexpr Millis kProbeAfter{2'500};
/// Minimum interval between snapshot requests, as changes come in series. Draining upstreams don't
/// depend on it: the reports themselves carry them.
constexpr Millis kSnapshotInterval{400};
/// A daemon with a working watch receives updates at about the same time as its peers; one that is
/// behind for longer has a stalled watch.
constexpr Millis kWatchTolerance{600};

bool isAhead(const FleetReport& report, const StoreState& own) {
  return report.settingsVersion > own.settingsVersion ||
         report.upstreamsVersion > own.upstreamsVersion;
}

}  // namespace

StoreFreshness::StoreFreshness(Instant started)
    : started_(started), lastContact_(started - kUnknownAge), peersLostContactAt_(lastContact_) {}

bool StoreFreshness::noteReport(const FleetReport& report, const StoreState& own, Instant now) {
  const bool wasStale = age(own, now) > kStaleAfter;
  lastContact_ = std::max(lastContact_, now - report.storeAge);
  newestSettingsVersion_ = std::max(newestSettingsVersion_, report.settingsVersion);
  // Peers that have just started can't report an outage.
  if (report.storeAge > kEntryLapse && report.storeAge < kUnknownAge) peersLostContactAt_ = now;
  // If no peer reported the outage, only this daemon was cut off and the store may have been up.
  return wasStale && age(own, now) <= kStaleAfter && now - peersLostContactAt_ <= kStaleAfter;
}

Millis StoreFreshness::age(const StoreState& own, Instant now) const {
  if (own.inContact) return Millis(0);
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(now - lastContact_));
}

bool StoreFreshness::mayBeStale(const StoreState& own, Instant now) const {
  return own.settingsVersion < newestSettingsVersion_ || age(own, now) > kStaleAfter;
}

bool StoreFreshness::wasUnreachable(Instant now) const {
  return now - lastContact_ > kStaleAfter;
}

FollowMode StoreFreshness::mode(bool follows, const StoreState& own, Instant now) const {
  if (follows) return FollowMode::following;
  const bool probes =
      now - std::max(lastContact_, started_) > kProbeAfter || own.settingsVersion == 0;
  return probes ? FollowMode::probing : FollowMode::off;
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
  const bool moved = behindState_.settingsVersion != own.settingsVersion ||
                     behindState_.upstreamsVersion != own.upstreamsVersion;
  if (best == nullptr || moved) behindSince_.reset();
  behindState_ = own;
  if (best == nullptr) return std::nullopt;
  if (!behindSince_) behindSince_ = now;
  if (own.inContact && now - *behindSince_ < kWatchTolerance) return std::nullopt;
  if (now - snapshotRequestedAt_ < kSnapshotInterval) return std::nullopt;
  snapshotRequestedAt_ = now;
  return best->self.address;
}

}  // namespace Hallchute
