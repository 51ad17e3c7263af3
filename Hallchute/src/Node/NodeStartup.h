// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_NODESTARTUP_H
#define HALLCHUTE_NODE_NODESTARTUP_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Core/Finding.h"
#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The time bounds that a deployment states. \ingroup Node
struct NodeBounds {
  /// From an upstream's word that it leaves to the last request sent there.
  Millis drain{2'000};
  /// From an accepted settings change to its being in force everywhere.
  Millis settings{2'000};
  /// What a host must have been in contact for before time bounds hold for it.
  Millis contact{3'000};
  /// From SIGTERM to SIGKILL.
  Millis grace{8'000};
  /// How long a holder of a duty counts as holding it after it fell silent.
  Millis lease{3'000};
  double retryRatio = 0.2;
  Millis retryWindow{10'000};
  double retrySlack = 0;
  /// By how much a quota may be overdrawn in a window: a part of it, and units on top.
  double quotaOver = 0;
  Millis quotaWindow{8'000};
  double quotaSlack = 0;
  Millis usageWindow{5'000};
  /// From the end of a usage window to when its report is due.
  Millis usageDue{10'000};
};

/// \brief What a gateway daemon must know at start. \ingroup Node
struct NodeStartup {
  DaemonId daemon;
  DomainName domain;
  std::string ownIp;
  /// Where callers connect; where the balancer asks whether the daemon is ready; where peers
  /// connect; where metrics are served. Each `ip:port`.
  std::string callerListen;
  std::string readinessListen;
  std::string peerListen;
  std::string metricsListen;
  std::vector<std::string> seeds;
  std::vector<DomainName> domains;
  std::string storeAddress;
  /// Empty where the deployment has no duties.
  std::string dutyAddress;
  bool ordersReplicas = false;
  bool reportsUsage = false;
  /// Descriptors that the process may have open.
  std::size_t descriptors = 1'024;
  NodeBounds bounds;
  /// Thousandths of a processor that the host gives.
  std::uint32_t capacity = 1'000;
  std::string logLevel = "info";
};

/// \brief Reads and checks a gateway's start-up file; every fault is added to \p findings.
/// \ingroup Node
NodeStartup readNodeStartup(std::string_view text, Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_NODESTARTUP_H
