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
#include "Hallchute/src/Gateway/QuotaLedger.h"
#include "Hallchute/src/Gateway/UpstreamTable.h"
#include "Hallchute/src/Gateway/UsageLedger.h"

namespace Hallchute {

/// \brief Where a daemon is reached. \ingroup Fleet
struct FleetMember {
  FleetMember() = default;
  FleetMember(DaemonId id, std::string where, std::uint64_t life, DomainName place = {},
              std::uint32_t power = 0)
      : daemon(std::move(id)),
        address(std::move(where)),
        incarnation(life),
        domain(std::move(place)),
        capacity(power) {}

  DaemonId daemon;
  /// Its peers' address, `ip:port`.
  std::string address;
  /// Rises with each start of the daemon's process.
  std::uint64_t incarnation = 0;
  DomainName domain;
  /// Thousandths of a processor that its host gives: who has most carries reports for others.
  std::uint32_t capacity = 0;
  bool operator==(const FleetMember&) const = default;
};

/// \brief For whom a report speaks. \ingroup Fleet
enum class ReportScope : std::uint8_t {
  /// Its sender alone; the sender reports to every daemon.
  broadcast,
  /// Its sender alone; a relay passes it on.
  member,
  /// The sender and the daemons of its failure domain; goes to other relays.
  domain,
  /// All daemons but the receiver.
  fleet,
};

/// \brief Who holds the fleet's duties, as far as a daemon knows. \ingroup Fleet
struct DutyHolder {
  DaemonId daemon;
  std::uint64_t incarnation = 0;
  /// The fencing token; 0 if no holder is known.
  std::uint64_t epoch = 0;
  /// It can't reach the store while others do, and never acts under this epoch again.
  bool resigned = false;
  bool operator==(const DutyHolder&) const = default;

  /// \brief Takes over what another daemon knows, if that is later.
  void mergeNewer(const DutyHolder& other) {
    if (other.epoch > epoch) *this = other;
    if (other.epoch == epoch && other.resigned) resigned = true;
  }
};

/// \brief The usage of one incarnation of a daemon, as another one tells it. \ingroup Fleet
struct IncarnationUsage {
  DaemonId daemon;
  std::uint64_t incarnation = 0;
  DomainName domain;
  UsageByWindow usage;
  bool operator==(const IncarnationUsage&) const = default;
};

/// \brief The age of what was never heard.
/// \ingroup Fleet
inline constexpr Millis kUnknownAge = std::chrono::hours(24);

/// \brief What a daemon tells others several times a second. \ingroup Fleet
///
/// All numbers are totals since its incarnation began: a lost report loses nothing.
struct FleetReport {
  FleetMember self;
  ReportScope scope = ReportScope::broadcast;
  /// Time since the start of 1970: by the sender's host, or by the clocks of all whom it speaks
  /// for.
  Millis wallClock{0};
  std::uint64_t settingsVersion = 0;
  /// Rises with the store's revision that its copy of the upstreams is complete to.
  std::uint64_t upstreamsVersion = 0;
  /// How long ago the store last answered anybody the sender hears of.
  Millis storeAge{kUnknownAge};
  SpentQuota spent;
  UpstreamLoads loads;
  /// Of those that the scope names.
  UsageByWindow usage;
  /// Upstreams that it knows to take no new work.
  std::vector<UpstreamIncarnation> draining;
  DutyHolder duties;
  /// Daemons in the scope that the sender hears; with `everybody`, all addresses it knows.
  std::vector<FleetMember> members;
  /// Usage of single incarnations, which counts once however many tell it. Told once a second: of
  /// incarnations that ended, for daemons that started after them; by relays to each other and to
  /// the daemon that would follow them, of their domain too, as a relay may end.
  std::vector<IncarnationUsage> incarnations;
  /// `members` is left out as it is what the last report held.
  bool membersUnchanged = false;
  /// It is about to stop.
  bool leaving = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETREPORT_H
