// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_MEMBERSHIP_GOSSIPMESSAGE_H
#define HALLCHUTE_MEMBERSHIP_GOSSIPMESSAGE_H

#include <cstdint>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Membership/Member.h"

namespace Hallchute {

/// \brief Who first told that an upstream leaves.
/// \ingroup Membership
enum class LeaveSource : std::uint8_t { notice, hostList, upstream, operatorRequest };

/// \brief That an upstream leaves. It is never taken back: what returns has a new id.
/// \ingroup Membership
struct LeaveAnnouncement {
  UpstreamId upstream;
  /// Time left until it goes, at the time of sending.
  Millis remaining{0};
  LeaveSource source = LeaveSource::notice;
};

/// \brief What one probe or its answer carries. Its size is bounded by MembershipPolicy.
/// \ingroup Membership
struct GossipMessage {
  /// The sender itself, always up to date.
  MemberStatus sender;
  /// How many daemons the sender knows to live, itself included.
  std::uint64_t known = 0;
  std::vector<MemberStatus> members;
  std::vector<LeaveAnnouncement> leaves;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_GOSSIPMESSAGE_H
