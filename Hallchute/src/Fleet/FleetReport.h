// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_FLEETREPORT_H
#define HALLCHUTE_FLEET_FLEETREPORT_H

#include <cstdint>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Gateway/QuotaLedger.h"
#include "Hallchute/src/Gateway/UpstreamTable.h"
#include "Hallchute/src/Gateway/UsageLedger.h"

namespace Hallchute {

/// \brief Where a daemon is reached. \ingroup Fleet
struct FleetMember {
  DaemonId daemon;
  /// Its peers' address, `ip:port`.
  std::string address;
  /// Rises with each start of the daemon's process.
  std::uint64_t incarnation = 0;
  bool operator==(const FleetMember&) const = default;
};

/// \brief Who holds the fleet's duties, as far as a daemon knows. \ingroup Fleet
struct DutyHolder {
  DaemonId daemon;
  std::uint64_t incarnation = 0;
  /// The fencing token; 0 if no holder is known.
  std::uint64_t epoch = 0;
  bool operator==(const DutyHolder&) const = default;
};

/// \brief What a daemon tells all others several times a second. \ingroup Fleet
///
/// All numbers are totals since its incarnation began: a lost report loses nothing.
struct FleetReport {
  FleetMember self;
  DomainName domain;
  std::uint64_t settingsVersion = 0;
  SpentQuota spent;
  UpstreamLoads loads;
  UsageByWindow usage;
  /// Upstreams that it knows to take no new work.
  std::vector<UpstreamId> draining;
  DutyHolder duties;
  std::vector<FleetMember> members;
  /// It is about to stop.
  bool leaving = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETREPORT_H
