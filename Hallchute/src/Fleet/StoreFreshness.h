// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_STOREFRESHNESS_H
#define HALLCHUTE_FLEET_STOREFRESHNESS_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

struct FleetReport;

/// \brief How a daemon keeps its copy of the store's objects up to date. \ingroup Fleet
enum class FollowMode : std::uint8_t {
  /// Peers supply updates; it doesn't call the store.
  off,
  /// No peer is in contact with the store: it calls the store periodically.
  probing,
  /// It watches the store, for itself and for peers.
  following,
};

/// \brief Versions of a daemon's copy of the store's objects, and its contact. \ingroup Fleet
struct StoreState {
  std::uint64_t settingsVersion = 0;
  std::uint64_t upstreamsVersion = 0;
  /// It calls the store itself and the last call was answered.
  bool inContact = false;
};

/// \brief Decides whether a daemon watches the store, bounds the age of its copy, and selects the
/// peer to request a newer one from. Does no I/O and reads no clock. \ingroup Fleet
///
/// Calls to the store, including pending watches, are billed. In a large fleet two daemons of each
/// failure domain watch it; the others learn of newer versions from reports and request a snapshot
/// from the sender.
class StoreFreshness {
 public:
  /// \param started when the daemon started; it leaves time to discover peers before it probes.
  explicit StoreFreshness(Instant started);

  /// \brief Records a peer's report. \returns whether it ends a store outage: peers had reported
  /// before that the store answered none of them.
  bool noteReport(const FleetReport& report, const StoreState& own, Instant now);
  /// \brief Time since the store last answered this daemon or any whose reports reach it.
  Millis age(const StoreState& own, Instant now) const;
  /// \brief Whether the store was also unreachable for all peers, according to their reports.
  bool wasUnreachable(Instant now) const;
  /// \brief Whether newer settings may exist than this daemon's copy.
  bool mayBeStale(const StoreState& own, Instant now) const;
  /// \param follows whether this daemon is one of those that watch the store for the fleet.
  FollowMode mode(bool follows, const StoreState& own, Instant now) const;
  /// \brief The address of the peer to request a snapshot from now, if any.
  std::optional<std::string> snapshotPeer(const StoreState& own,
                                          std::span<const FleetReport* const> reports, Instant now);

 private:
  Instant started_;
  /// When the store last answered any peer; kUnknownAge before the start if not reported yet.
  Instant lastContact_;
  /// When a peer last reported that the store answers neither it nor its peers.
  Instant peersLostContactAt_;
  /// The newest settings version in any report.
  std::uint64_t newestSettingsVersion_ = 0;
  Instant snapshotRequestedAt_{};
  /// Since when a peer has had newer versions than this daemon, and this daemon's versions then.
  std::optional<Instant> behindSince_;
  StoreState behindState_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_STOREFRESHNESS_H
