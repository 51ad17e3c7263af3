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

/// \brief The source that first reported the leave of an upstream.
/// \ingroup Membership
enum class LeaveSource : std::uint8_t { notice, hostList, upstream, operatorRequest };

/// \brief Announces that an upstream leaves.
/// \ingroup Membership
///
/// A leave is never revoked: a host that returns has a new id.
struct LeaveAnnouncement {
  UpstreamId upstream;
  /// Time left until the upstream leaves, at the time of sending.
  Millis remaining{0};
  LeaveSource source = LeaveSource::notice;
};

/// \brief The payload of a probe or of its answer. Its size is bounded by MembershipPolicy.
/// \ingroup Membership
struct GossipMessage {
  /// The status of the sender itself, always current.
  MemberStatus sender;
  /// Number of daemons that the sender knows and that are not dead, itself included.
  std::uint64_t known = 0;
  std::vector<MemberStatus> members;
  std::vector<LeaveAnnouncement> leaves;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_GOSSIPMESSAGE_H
