// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_MEMBERSHIP_MEMBERSHIPPOLICY_H
#define HALLCHUTE_MEMBERSHIP_MEMBERSHIPPOLICY_H

#include <cstddef>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Intervals, timeouts and message limits of the membership protocol.
/// \ingroup Membership
struct MembershipPolicy {
  /// Probe interval: one member of the same failure domain is probed per period.
  Millis period{300};
  /// Time without an answer after which the target of a probe becomes suspect.
  Millis probeTimeout{500};
  /// Time in which a suspect can refute the suspicion before it is declared dead.
  Millis suspicionTimeout{1'000};
  /// A member of another failure domain is probed once in this many periods.
  std::size_t otherDomainPeriods = 4;
  /// Upper bound of the members in a message, its sender not counted.
  std::size_t membersPerMessage = 6;
  /// Upper bound for a peer that knows fewer members, as after joining or a network partition.
  std::size_t membersForLaggingPeer = 64;
  std::size_t leavesPerMessage = 16;
  /// Peers probed at once, outside the probe period, when a leave is first known.
  std::size_t immediateProbes = 3;
  /// Gap between ticks from which the daemon treats its own state as outdated.
  Millis pauseThreshold{2'000};
  /// How long a dead member stays in the table.
  Millis deadMemberRetention{60'000};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_MEMBERSHIPPOLICY_H
