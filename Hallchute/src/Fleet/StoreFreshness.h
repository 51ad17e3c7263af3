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

/// \brief How a daemon keeps its copy of the store's objects. \ingroup Fleet
enum class FollowMode : std::uint8_t {
  /// Peers tell it; it makes no calls.
  off,
  /// Peers are as lost as it is: it asks the store now and then.
  probing,
  /// It watches the store, for itself and for others.
  following,
};

/// \brief What a daemon holds of the store's objects, and how. \ingroup Fleet
struct StoreState {
  std::uint64_t settingsVersion = 0;
  std::uint64_t upstreamsVersion = 0;
  /// It asks the store itself and was answered last time.
  bool inContact = false;
};

/// \brief Decides who watches the store, how old a daemon's copy may be, and which peer to ask
/// for a newer one. No I/O, no clock. \ingroup Fleet
///
/// Calls to the store are paid for, watches that wait too. In a large fleet two daemons of each
/// failure domain watch; the others hear of newer versions by the reports and ask the teller.
class StoreFreshness {
 public:
  /// \param started a daemon that starts has a moment to meet its peers before it probes.
  explicit StoreFreshness(Instant started);

  /// \returns whether it brings the store back: before, peers said that it answered none of them.
  bool noteReport(const FleetReport& report, const StoreState& own, Instant now);
  /// \brief How long ago the store last answered anybody this daemon hears of.
  Millis age(const StoreState& own, Instant now) const;
  /// \brief Whether the store was away from all peers too, as far as their reports tell.
  bool wasUnreachable(Instant now) const;
  /// \brief Whether newer settings may exist that this daemon can't hear of.
  bool mayBeStale(const StoreState& own, Instant now) const;
  /// \param follows whether the fleet counts on this daemon's watching.
  FollowMode mode(bool follows, const StoreState& own, Instant now) const;
  /// \brief The address of a peer to ask for a snapshot now, if any.
  std::optional<std::string> snapshotPeer(const StoreState& own,
                                          std::span<const FleetReport* const> reports, Instant now);

 private:
  Instant started_;
  /// When the store last answered anybody; long before the start if that was never heard of.
  Instant heard_;
  /// When a peer last said that the store answers nobody it receives reports of.
  Instant toldAway_;
  /// The newest settings that any report named.
  std::uint64_t newestSettings_ = 0;
  Instant asked_{};
  /// Since when a peer has been ahead of a daemon that watches itself, and of which versions.
  std::optional<Instant> behindSince_;
  StoreState behindAt_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_STOREFRESHNESS_H
