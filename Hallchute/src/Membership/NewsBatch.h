// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_MEMBERSHIP_NEWSBATCH_H
#define HALLCHUTE_MEMBERSHIP_NEWSBATCH_H

#include <cstdint>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Membership/Member.h"

namespace Hallchute {

/// \brief Who first told that an upstream leaves.
/// \ingroup Membership
enum class LeaveSource : std::uint8_t { notice, hostList, upstream, operatorOrder };

/// \brief That an upstream leaves. It is never taken back: what returns has a new id.
/// \ingroup Membership
struct LeaveNews {
  UpstreamId upstream;
  /// Time left until it goes, at the time of sending.
  Millis remaining{0};
  LeaveSource source = LeaveSource::notice;
};

/// \brief What one probe or its answer carries. Its size is bounded by MembershipPolicy.
/// \ingroup Membership
struct NewsBatch {
  /// The sender itself, always up to date.
  MemberNews sender;
  /// How many daemons the sender knows to live, itself included.
  std::uint64_t known = 0;
  std::vector<MemberNews> members;
  std::vector<LeaveNews> leaves;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_NEWSBATCH_H
