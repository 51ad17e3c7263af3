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

/// \brief What traffic threads may use of the daemon. All of it is safe from any thread.
/// \ingroup Daemon
struct TrafficContext {
  DaemonId daemon;
  DomainName domain;
  std::string ownIp;
  SettingsStore& settings;
  Metrics& metrics;
  JobTable& jobs;
  PlatformPort& platform;
  PlatformHealth& health;
  RetryBudgets& budgets;
  /// Gets a place at an upstream; blocks.
  std::function<GrantOutcome(const GrantSpec&)> acquire;
  /// Tells control that an upstream said it leaves.
  std::function<void(const LeaveAnnouncement&)> noteLeave;
  /// Whether a daemon may still live, as far as is known here.
  std::function<bool(const DaemonId&)> mayBeAlive;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_TRAFFICCONTEXT_H
