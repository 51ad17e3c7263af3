// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_FLEETREPORT_H
#define HALLCHUTE_FLEET_FLEETREPORT_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/CrashHistory.h"
#include "Hallchute/src/Gateway/NamedLimit.h"
#include "Hallchute/src/Gateway/QuotaLedger.h"
#include "Hallchute/src/Gateway/RolloutStage.h"
#include "Hallchute/src/Gateway/UpstreamTable.h"
#include "Hallchute/src/Gateway/UsageLedger.h"
#include "Hallchute/src/Gateway/VersionEvidence.h"
#include "Hallchute/src/Gateway/WaitingLoad.h"

namespace Hallchute {

/// \brief Identity and peer address of a daemon. \ingroup Fleet
struct FleetMember {
  FleetMember() = default;
  FleetMember(DaemonId id, std::string peerAddress, std::uint64_t startIncarnation,
              FailureDomainName failureDomain = {}, std::uint32_t hostCapacity = 0)
      : daemon(std::move(id)),
        address(std::move(peerAddress)),
        incarnation(startIncarnation),
        domain(std::move(failureDomain)),
        capacity(hostCapacity) {}

  DaemonId daemon;
  /// Address for traffic between peers, `ip:port`.
  std::string address;
  /// Increases with each start of the daemon's process.
  std::uint64_t incarnation = 0;
  FailureDomainName domain;
  /// CPU capacity of its host in thousandths of a processor; the daemon with the most becomes
  /// relay.
  std::uint32_t capacity = 0;
  /// Services to whose upstreams it can't open connections; see PathMonitor.
  std::vector<ServiceName> lostPaths;
  bool operator==(const FleetMember&) const = default;
};

/// \brief Which daemons a report covers. \ingroup Fleet
enum class ReportScope : std::uint8_t {
  /// The sender only; it reports to every daemon.
  broadcast,
  /// The sender only; a relay aggregates and forwards it.
  member,
  /// The sender and the daemons of its failure domain; sent to other relays.
  domain,
  /// All daemons except the receiver.
  fleet,
};

/// \brief The daemon that holds the fleet's duties, as known locally. \ingroup Fleet
struct DutyHolder {
  DaemonId daemon;
  std::uint64_t incarnation = 0;
  /// The fencing token; 0 if no holder is known.
  std::uint64_t epoch = 0;
  /// It can't reach the store while others can, and never acts under this epoch again.
  bool resigned = false;
  bool operator==(const DutyHolder&) const = default;

  /// \brief Adopts \p other if it has a later epoch; for the same epoch, adopts its resignation.
  void mergeNewer(const DutyHolder& other) {
    if (other.epoch > epoch) *this = other;
    if (other.epoch == epoch && other.resigned) resigned = true;
  }
};

/// \brief Usage of one incarnation of a daemon, as reported by another daemon. \ingroup Fleet
struct IncarnationUsage {
  DaemonId daemon;
  std::uint64_t incarnation = 0;
  FailureDomainName domain;
  UsageByWindow usage;
  bool operator==(const IncarnationUsage&) const = default;
};

/// \brief Age that stands for a contact that never took place.
/// \ingroup Fleet
inline constexpr Millis kUnknownAge = std::chrono::hours(24);

/// \brief Report that a daemon sends to its peers several times a second. \ingroup Fleet
///
/// All counters are totals since the incarnation began, so a lost report loses no data.
struct FleetReport {
  FleetMember self;
  ReportScope scope = ReportScope::broadcast;
  /// Time since the Unix epoch: the sender's host clock, or the shared clock of all daemons that
  /// the report covers.
  Millis wallClock{0};
  std::uint64_t settingsVersion = 0;
  /// The store revision up to which the sender's copy of the upstreams is complete.
  std::uint64_t upstreamsVersion = 0;
  /// Time since the store last answered the sender or any daemon whose reports reach it.
  Millis storeAge{kUnknownAge};
  SpentQuota spent;
  UpstreamLoads loads;
  /// Requests that wait for admission at the daemons in the scope.
  WaitingLoads waiting;
  /// Usage of the daemons in the scope.
  UsageByWindow usage;
  /// Upstreams known to accept no new work.
  std::vector<UpstreamIncarnation> draining;
  DutyHolder duties;
  /// Upstream crashes by request content, as the sender knows them; see CrashLedger::report().
  std::vector<CrashHistory> crashes;
  /// Limits that upstreams named, as the sender knows them; see LimitLedger::report().
  std::vector<NamedLimit> limits;
  /// The same of limits on rejections.
  std::vector<NamedLimit> rejectionLimits;
  /// Daemons in the scope that the sender considers alive; with `broadcast`, all it knows.
  std::vector<FleetMember> members;
  /// Usage of single incarnations, counted once however many daemons report it. Sent once a second:
  /// for incarnations that ended, so that daemons started later learn it; and, between relays and
  /// to a relay's standby, for the relay's own domain, as the relay may fail.
  std::vector<IncarnationUsage> incarnations;
  /// `members` is omitted because it equals that of the last report.
  bool membersUnchanged = false;
  /// The sender is shutting down.
  bool leaving = false;
  /// Stages of rollouts, as the sender knows them; see VersionShares::report().
  std::vector<RolloutStage> rollouts;
  /// Evidence of running rollouts from the daemons in the scope.
  VersionEvidences evidence;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETREPORT_H
