// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_TRAFFICCONTEXT_H
#define HALLCHUTE_DAEMON_TRAFFICCONTEXT_H

#include <functional>
#include <string>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Daemon/GrantSpec.h"
#include "Hallchute/src/Membership/GossipMessage.h"

namespace Hallchute {

class JobTable;
class Metrics;
class PlatformHealth;
class PlatformPort;
class RetryBudgets;
class SettingsStore;

/// \brief The parts of the daemon that request threads use. All members are thread-safe.
/// \ingroup Daemon
struct TrafficContext {
  DaemonId daemon;
  FailureDomainName domain;
  std::string ownIp;
  SettingsStore& settings;
  Metrics& metrics;
  JobTable& jobs;
  PlatformPort& platform;
  PlatformHealth& health;
  RetryBudgets& budgets;
  /// Acquires a slot at an upstream; blocks.
  std::function<GrantOutcome(const GrantSpec&)> acquire;
  /// Reports to the control thread that an upstream announced its leave.
  std::function<void(const LeaveAnnouncement&)> noteLeave;
  /// Whether a daemon may still be alive, as far as this daemon knows.
  std::function<bool(const DaemonId&)> mayBeAlive;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_TRAFFICCONTEXT_H
