// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_FLEETUSAGE_H
#define HALLCHUTE_FLEET_FLEETUSAGE_H

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Gateway/UsageLedger.h"

namespace Hallchute {

/// \brief Usage of all other daemons, merged from their reports and those of relays. Not
/// thread-safe; does no I/O and reads no clock. \ingroup Fleet
///
/// An incarnation's count of a window never decreases, and every reported sum is a sum of such
/// counts: each report is a lower bound of what it covers, whatever its sender and age. So merging
/// takes the maximum, and a relay that stops, restarts or is replaced neither loses usage nor
/// counts it twice. Cost: each note is linear in the report's entries, each total in those of all
/// sums.
class FleetUsage {
 public:
  explicit FleetUsage(FleetMember self) : self_(std::move(self)) {}

  /// \brief Records the usage that an incarnation reports of itself.
  void noteSelfReport(const FleetMember& member, const UsageByWindow& usage);
  /// \brief Records the usage of an incarnation as reported by another daemon.
  void noteIncarnation(const IncarnationUsage& report);
  /// \brief Records the sums that a relay of another failure domain reports for its daemons.
  void noteDomainSums(const FailureDomainName& domain, const UsageByWindow& sums);
  /// \brief Records the sums that a relay reports to this daemon for all others.
  void noteFleetSums(const UsageByWindow& sums);
  /// \brief Drops windows before \p firstWindow, except those of incarnations that still report
  /// their own usage and drop them themselves.
  void forgetBefore(std::int64_t firstWindow);

  /// \brief Usage of all daemons and incarnations except this incarnation.
  UsageByWindow elsewhere() const;
  /// \brief The same from single incarnations and other domains' sums only. A relay may forward it,
  /// as it can subtract each receiver's own part.
  UsageByWindow forwardable() const;
  /// \brief Usage of this daemon's failure domain without this incarnation.
  UsageByWindow ownDomain() const;
  /// \brief Usage of an incarnation and of later ones of the same daemon.
  UsageByWindow usageSince(const FleetMember& member) const;
  /// \brief The incarnations for which \p chosen(daemon, number, domain) returns true.
  template <typename Chosen>
  std::vector<IncarnationUsage> incarnations(Chosen chosen) const {
    std::vector<IncarnationUsage> reported;
    for (const auto& [key, record] : incarnations_) {
      if (record.usage.empty() || !chosen(key.first, key.second, record.domain)) continue;
      reported.push_back({key.first, key.second, record.domain, record.usage});
    }
    return reported;
  }

 private:
  using Incarnation = std::pair<DaemonId, std::uint64_t>;
  struct IncarnationRecord {
    FailureDomainName domain;
    UsageByWindow usage;
    /// Whether it has reported its own usage since windows were last dropped.
    bool selfReported = false;
  };

  bool isSelf(const DaemonId& daemon, std::uint64_t incarnation) const;
  IncarnationRecord& incarnation(const DaemonId& daemon, std::uint64_t number,
                                 const FailureDomainName& domain);
  /// Raises the counts of an incarnation to those reported, and its domain's sum accordingly.
  void raiseRecord(IncarnationRecord& record, const UsageByWindow& reported);
  void dropBefore(IncarnationRecord& record, std::int64_t firstWindow);

  FleetMember self_;
  std::map<Incarnation, IncarnationRecord> incarnations_;
  /// Sums of `incarnations_` by domain, updated incrementally: a relay of a large fleet needs them
  /// several times a second and would have to add hundreds of incarnations.
  std::map<FailureDomainName, UsageByWindow> domainSums_;
  std::map<FailureDomainName, UsageByWindow> reportedDomainSums_;
  UsageByWindow reportedFleetSums_;
  std::int64_t firstKeptWindow_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETUSAGE_H
