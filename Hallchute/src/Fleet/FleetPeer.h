// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_FLEETPEER_H
#define HALLCHUTE_FLEET_FLEETPEER_H

#include <memory>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/FleetReport.h"

namespace Hallchute {

/// \brief Another daemon by its reports and by what relays say of it. \ingroup Fleet
struct FleetPeer {
  /// Several report periods: one lost report doesn't make a daemon unheard.
  static constexpr Millis kHeardFor{1'000};
  /// How long a silent daemon may still be running behind a cut and spending its part of quotas.
  static constexpr Millis kKnownFor{15'000};
  /// Shared by all who were sent the same: 59 copies of 295 members took a relay 40 MB.
  using MemberList = std::shared_ptr<const std::vector<FleetMember>>;

  static bool within(Instant then, Instant now, Millis limit) {
    return then != Instant{} && now - then <= limit;
  }
  /// \brief Whether it was heard of lately, directly or by a relay, and isn't leaving.
  bool alive(Instant now) const {
    if (report.leaving) return false;
    return within(reported, now, kHeardFor) || within(vouched, now, kHeardFor);
  }

  /// The last report of its own; only `self` is set before the first.
  FleetReport report;
  /// When a report of its own came, and when a relay last named it as alive.
  Instant reported{};
  Instant vouched{};
  /// When anything was learned of it, also by daemons that don't vouch for it.
  Instant seen{};
  /// How far the clock that it reported is ahead of this host's monotonic one.
  Millis clockOffset{0};
  /// What it spent by its own reports as a member of a relay's domain.
  SpentQuota spentAsMember;
  /// When it was last sent a report with members, and which.
  Instant membersSent{};
  MemberList sentMembers;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETPEER_H
