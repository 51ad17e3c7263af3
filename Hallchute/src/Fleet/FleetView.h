// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_FLEETVIEW_H
#define HALLCHUTE_FLEET_FLEETVIEW_H

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/FleetReport.h"

namespace Hallchute {

/// \brief What a report told that was not known before. \ingroup Fleet
struct FleetNews {
  SpentQuota spentMore;
  std::vector<UpstreamId> draining;
  /// The sender was not heard of, or has restarted.
  bool newIncarnation = false;
};

/// \brief The other daemons by their reports. One thread; no I/O, no clock.
/// \ingroup Fleet
///
/// Every daemon reports to every other one. That suits fleets of some dozens; for more, docs/
/// CAPACITY.md names what takes its place.
class FleetView {
 public:
  explicit FleetView(FleetMember self) : self_(std::move(self)) {}

  /// \brief Addresses to report to until their daemons are known.
  void addAddresses(std::span<const std::string> addresses);
  FleetNews receive(const FleetReport& report, Instant now);
  /// \brief Where to report now.
  std::vector<std::string> targets(Instant now) const;
  /// \brief Daemons heard of lately, this one included.
  std::size_t heard(Instant now) const;
  /// \brief Daemons that are likely to run, heard or not, this one included.
  std::size_t known(Instant now) const;
  UpstreamLoads loadsElsewhere(Instant now) const;
  /// \brief Usage of all daemons and their earlier incarnations, without this one's own.
  UsageByWindow usageElsewhere() const;
  void forgetUsageBefore(std::int64_t firstWindow);
  std::vector<FleetMember> members(Instant now) const;
  /// \brief The last report of \p daemon if it was heard lately; else null.
  const FleetReport* find(const DaemonId& daemon, Instant now) const;
  /// \brief Reports of all daemons heard lately, by name.
  std::vector<const FleetReport*> reports(Instant now) const;

 private:
  struct Known {
    FleetReport report;
    Instant heard{};
    /// Known by what others say, not yet by a report of its own.
    bool hearsay = false;
  };

  void learnMember(const FleetMember& member, Instant now);

  FleetMember self_;
  std::map<DaemonId, Known> daemons_;
  std::set<std::string> addresses_;
  /// Of incarnations that ended.
  std::map<std::pair<DaemonId, std::uint64_t>, UsageByWindow> pastUsage_;
};

/// \brief Adds the counts of \p more to \p total.
/// \ingroup Fleet
void addUsage(UsageByWindow& total, const UsageByWindow& more);

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETVIEW_H
