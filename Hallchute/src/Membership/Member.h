// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_MEMBERSHIP_MEMBER_H
#define HALLCHUTE_MEMBERSHIP_MEMBER_H

#include <cstdint>
#include <string>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Membership state of a daemon as its peers see it.
///
/// At equal incarnations the state declared later here takes precedence.
/// \ingroup Membership
enum class MemberState : std::uint8_t { alive, suspect, leaving, dead };

/// \brief The status of a daemon as exchanged by gossip.
/// \ingroup Membership
struct MemberStatus {
  DaemonId id;
  FailureDomainName domain;
  /// The address for its peers, `ip:port`.
  std::string address;
  /// Raised only by the member itself, to refute a suspicion; starts at its start time.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::alive;
  /// The active settings revision of the member, as last reported.
  std::uint64_t revision = 0;
  /// The version of its host list, as last reported.
  std::uint64_t hostsVersion = 0;
};

/// \brief An entry of a daemon's member table.
/// \ingroup Membership
struct Member {
  MemberStatus status;
  /// When its state last changed in this table.
  Instant stateSince{};
  /// When this daemon last received a message from the member itself.
  Instant lastReceived{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_MEMBER_H
