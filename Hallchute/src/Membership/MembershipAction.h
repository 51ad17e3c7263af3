// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_MEMBERSHIP_MEMBERSHIPACTION_H
#define HALLCHUTE_MEMBERSHIP_MEMBERSHIPACTION_H

#include <string>
#include <variant>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Membership/GossipMessage.h"

namespace Hallchute {

/// \brief Send a batch to this address and report its answer or its silence.
/// \ingroup Membership
struct SendProbe {
  /// Empty for a seed whose name is not yet known.
  DaemonId target;
  std::string address;
};

/// \brief The set of daemons that may own shards has changed.
/// \ingroup Membership
struct OwnersChanged {};

/// \brief This daemon was paused so long that others may have taken over what it held.
/// \ingroup Membership
struct LongPauseDetected {
  Millis gap{0};
};

/// \brief An upstream was heard to leave for the first time.
/// \ingroup Membership
struct LeaveDiscovered {
  LeaveAnnouncement announcement;
};

/// \brief A peer has newer settings.
/// \ingroup Membership
struct NewerSettings {
  std::string address;
  std::uint64_t revision = 0;
};

/// \brief A peer has a newer host list.
/// \ingroup Membership
struct NewerHosts {
  std::string address;
  std::uint64_t version = 0;
};

/// \ingroup Membership
using MembershipAction = std::variant<SendProbe, OwnersChanged, LongPauseDetected, LeaveDiscovered,
                                      NewerSettings, NewerHosts>;

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_MEMBERSHIPACTION_H
