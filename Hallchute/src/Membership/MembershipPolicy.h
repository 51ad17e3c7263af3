// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_MEMBERSHIP_MEMBERSHIPPOLICY_H
#define HALLCHUTE_MEMBERSHIP_MEMBERSHIPPOLICY_H

#include <cstddef>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The pace and the bounds of probing.
/// \ingroup Membership
struct MembershipPolicy {
  /// One member of the own failure domain is probed in each period.
  Millis period{300};
  /// Silence after a probe that makes its target suspect.
  Millis answerLimit{500};
  /// Time in which a suspect may refute before it is declared dead.
  Millis suspicion{1'000};
  /// Every so many periods, a member of another domain is probed.
  std::size_t foreignEvery = 4;
  /// Members named in a batch besides its sender.
  std::size_t membersPerMessage = 6;
  /// Members named in the answer to a peer that knows fewer: it has just joined, or was cut off.
  std::size_t membersForJoiner = 64;
  std::size_t leavesPerMessage = 16;
  /// Peers probed out of turn when an upstream is first heard to leave.
  std::size_t eagerFanout = 3;
  /// A gap between ticks from which the daemon takes itself for outdated.
  Millis pauseLimit{2'000};
  /// How long a dead member is remembered.
  Millis deadMemory{60'000};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_MEMBERSHIPPOLICY_H
