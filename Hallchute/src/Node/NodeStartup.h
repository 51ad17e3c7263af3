// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_NODESTARTUP_H
#define HALLCHUTE_NODE_NODESTARTUP_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Core/Finding.h"
#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/AdmissionLimits.h"
#include "Hallchute/src/Upstream/AnswerBounds.h"

namespace Hallchute {

/// \brief The time bounds, and those of retries and quotas, that a deployment states.
/// \ingroup Node
struct NodeBounds {
  /// From an upstream's announcement that it is leaving to the last request sent to it.
  Millis drain{2'000};
  /// From the acceptance of a settings change until all daemons apply it.
  Millis settings{2'000};
  /// How long a host must have been in contact before the time bounds apply to it.
  Millis contact{3'000};
  /// From SIGTERM to SIGKILL.
  Millis grace{8'000};
  /// How long a silent holder of a duty keeps it.
  Millis lease{3'000};
  double retryRatio = 0.2;
  Millis retryWindow{10'000};
  double retrySlack = 0;
  /// Permitted overdraft of a quota in a window: this fraction of it plus `quotaSlack` units.
  double quotaOverdraftRatio = 0;
  Millis quotaWindow{8'000};
  double quotaSlack = 0;
  Millis usageWindow{5'000};
  /// From the end of a usage window to the deadline of its report.
  Millis usageDue{10'000};
  /// Share of a service's requests that a bad version may get during its rollout, and the number
  /// beyond it; without a share, this daemon takes no part in rollouts.
  std::optional<double> exposeShare;
  double exposeSlack = 0;
  /// From a version's 50th bad answer to the last request that it may get.
  Millis rollback{5'000};
};

/// \brief The operator's limits on hedged requests. \ingroup Node
struct NodeHedging {
  /// Hedges per hundred requests of a route within a minute; 0 turns hedging off.
  double percent = 0;
  /// Least time without data before a request is hedged.
  Millis minDelay{50};
};

/// \brief How requests are placed on upstreams. \ingroup Node
struct PlacementOptions {
  /// Whether upstreams' speeds are estimated and used.
  bool estimates = false;
};

/// \brief The start-up configuration of a gateway daemon. \ingroup Node
struct NodeStartup {
  DaemonId daemon;
  FailureDomainName domain;
  std::string ownIp;
  /// Listen addresses as `ip:port`: for callers, for the load balancer's readiness probes, for
  /// peers and for metrics.
  std::string callerListen;
  std::string readinessListen;
  std::string peerListen;
  std::string metricsListen;
  std::vector<std::string> seeds;
  std::vector<FailureDomainName> domains;
  std::string storeAddress;
  /// Empty where the deployment has no duties.
  std::string dutyAddress;
  bool ordersReplicas = false;
  bool reportsUsage = false;
  /// How many file descriptors the process may have open.
  std::size_t descriptors = 1'024;
  /// The memory that the process may use, in bytes; nothing: the machine's.
  std::optional<std::size_t> memory;
  NodeBounds bounds;
  AdmissionLimits admission;
  NodeHedging hedging;
  PlacementOptions placement;
  AnswerBounds answers;
  /// Processing capacity of the host in thousandths of a processor.
  std::uint32_t capacity = 1'000;
  std::string logLevel = "info";
};

/// \brief Parses and validates a gateway's start-up file; adds every fault to \p findings.
/// \ingroup Node
NodeStartup readNodeStartup(std::string_view text, Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_NODESTARTUP_H
