// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_FLEETPEER_H
#define HALLCHUTE_FLEET_FLEETPEER_H

#include <memory>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/FleetReport.h"

namespace Hallchute {

/// \brief State of another daemon, from its own reports and from those of relays. \ingroup Fleet
struct FleetPeer {
  /// Several report periods, so that one lost report doesn't mark a daemon as down.
  static constexpr Millis kLivenessTimeout{1'000};
  /// How long a silent daemon is assumed to be running behind a network partition and spending its
  /// share of the quotas.
  static constexpr Millis kPeerRetention{15'000};
  /// Shared between receivers of equal lists: 59 copies of 295 members took 40 MB on a relay.
  using MemberList = std::shared_ptr<const std::vector<FleetMember>>;

  static bool isRecent(Instant time, Instant now, Millis limit) {
    return time != Instant{} && now - time <= limit;
  }
  /// \brief Whether it was reported alive recently, by itself or by a relay, and isn't leaving.
  bool alive(Instant now) const {
    if (report.leaving) return false;
    return isRecent(reportedAt, now, kLivenessTimeout) ||
           isRecent(confirmedAliveAt, now, kLivenessTimeout);
  }

  /// The last report it sent; before the first one only `self` is set.
  FleetReport report;
  /// When its last report arrived, and when a relay last listed it as alive.
  Instant reportedAt{};
  Instant confirmedAliveAt{};
  /// When it was last reported by itself or listed by a relay, or else first named by any daemon.
  Instant lastSeenAt{};
  /// How far its reported wall clock is ahead of this host's monotonic clock.
  Millis clockOffset{0};
  /// Quota it spent according to its own reports, sent as a member of a relay's domain.
  SpentQuota spentAsMember;
  /// When it was last sent a member list, and which one.
  Instant membersSentAt{};
  MemberList lastSentMembers;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETPEER_H
