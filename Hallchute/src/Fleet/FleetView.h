// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_FLEETVIEW_H
#define HALLCHUTE_FLEET_FLEETVIEW_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/FleetClock.h"
#include "Hallchute/src/Fleet/FleetPeer.h"
#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Fleet/FleetRoster.h"
#include "Hallchute/src/Fleet/FleetUsage.h"
#include "Hallchute/src/Gateway/QuotaFleet.h"

namespace Hallchute {

/// \brief What a report told that was not known before. \ingroup Fleet
struct FleetUpdate {
  SpentQuota newlySpent;
  std::vector<UpstreamIncarnation> draining;
  /// The sender was not heard of, or has restarted.
  bool newIncarnation = false;
};

/// \brief A report and where it goes. \ingroup Fleet
struct AddressedReport {
  std::string address;
  FleetReport report;
};

/// \brief The other daemons by their reports. One thread; no I/O, no clock.
/// \ingroup Fleet
///
/// In a small fleet every daemon reports to every other one. In a larger one the strongest daemon
/// of each failure domain is its relay: its domain's daemons report to it, relays report their
/// domains' sums to each other, and each relay tells its domain's daemons the sums of all others.
/// A silent relay is replaced by the next strongest. Cost for a daemon: one report each way a
/// period; for a relay: one each way for each daemon of its domain and each other domain, and one
/// pass over all daemons for the sums that they hold.
class FleetView {
 public:
  /// \param started when this daemon began: it needs a moment to meet the others.
  explicit FleetView(FleetMember self, Instant started = {})
      : roster_(std::move(self), started), usage_(roster_.self()) {}

  /// \brief Addresses to report to until their daemons are known.
  void addAddresses(std::span<const std::string> addresses) { roster_.addAddresses(addresses); }
  /// \brief Compares the host's wall clock, in time since the start of 1970, with those of the
  /// others; to be called before the first compose() and regularly.
  void noteWallClock(Millis wallClock, Instant now);
  /// \brief The wall clock that the daemons share; see FleetClock.
  const FleetClock& clock() const { return clock_; }
  FleetUpdate receive(const FleetReport& report, Instant now);
  /// \brief The reports to send now. \param own what this daemon tells of itself.
  std::vector<AddressedReport> compose(const FleetReport& own, Instant now);
  /// \brief Daemons that are heard of, directly or by a relay, this one included.
  std::size_t heard(Instant now) const { return roster_.heard(now); }
  /// \brief Daemons that are likely to run, heard or not, this one included.
  std::size_t known(Instant now) const { return roster_.known(now); }
  /// \brief Whether this daemon has had the time to meet the others since its start.
  bool discoveryComplete(Instant now) const { return roster_.discoveryComplete(now); }
  /// \brief Whether all daemons that are likely to run have been heard for as long as it takes them
  /// to tell what they know of those that ended.
  bool usageComplete(Instant now) const;
  /// \brief How many daemons the fleet had before this one began, as the store tells. While
  /// its daemons may still be unheard, the fleet is taken to have at least that many.
  void noteEarlierSize(std::size_t daemons) { roster_.noteEarlierSize(daemons); }
  /// \brief What quotas are kept by: the part of the daemons that is heard, next to nothing while
  /// nothing tells of their number.
  QuotaFleet quotaFleet(Instant now) const { return roster_.quotaFleet(now); }
  UpstreamLoads loadsElsewhere(Instant now) const;
  /// \brief Usage of all daemons and their earlier incarnations, without this one's own. What was
  /// counted doesn't age: the moment changes nothing.
  UsageByWindow usageElsewhere(Instant) const { return usage_.elsewhere(); }
  void forgetUsageBefore(std::int64_t firstWindow) { usage_.forgetBefore(firstWindow); }
  /// \brief Whether \p daemon was heard of lately, directly or by a relay; 0 if not, else its
  /// incarnation.
  std::uint64_t liveIncarnation(const DaemonId& daemon, Instant now) const {
    return roster_.liveIncarnation(daemon, now);
  }
  /// \brief All daemons heard of lately with their incarnations, but this one.
  std::map<DaemonId, std::uint64_t> liveOthers(Instant now) const {
    return roster_.liveOthers(now);
  }
  /// \brief Reports of daemons that were heard directly lately, by name.
  std::vector<const FleetReport*> reports(Instant now) const { return roster_.reports(now); }
  bool isRelay(Instant now) const { return roster_.isRelay(now); }
  /// \brief The relay of the own failure domain, as far as is heard.
  DaemonId ownRelay(Instant now) const { return roster_.relayOf(self().domain, now); }
  /// \brief How long what a daemon tells takes to reach all others.
  Millis reportLag(Instant now) const { return roster_.reportLag(now); }
  /// \brief Whether the others count on this daemon's watching the store: everybody in a small
  /// fleet, the two strongest of each failure domain in a larger one.
  bool watchesStore(Instant now) const { return roster_.watchesStore(now); }

 private:
  const FleetMember& self() const { return roster_.self(); }
  /// The reports of one period, before what differs by receiver.
  struct Round {
    bool small = true;
    bool relay = false;
    /// Whether the daemons of the own domain are told of all others: a relay does, and for a while
    /// one that was.
    bool tellsDomain = false;
    /// One list for all receivers in the own domain.
    FleetPeer::MemberList members;
    /// Told this time, if any; see FleetReport::incarnations.
    std::vector<IncarnationUsage> incarnations;
    /// Set with them: it learns what the relay knows of the own domain and tells what it knows, as
    /// the relays of all domains may end at once.
    DaemonId deputy;
    /// What this daemon tells of itself.
    FleetReport own;
    /// What the own domain's daemons are told.
    FleetReport fleet;
    /// What other domains are told.
    FleetReport domain;
  };

  /// Whether a report of \p sender counts for sums here, so that nothing counts twice.
  bool counts(const FleetReport& report, Instant now) const;
  void learnUsage(const FleetReport& report);
  std::vector<IncarnationUsage> incarnationsToTell(const Round& round, Instant now) const;
  IncarnationUsage ownUsage(const Round& round) const;
  bool tellsDomain(Instant now) const;
  std::set<std::string> targets(Instant now) const;
  bool misled(const FleetPeer& peer, Instant now) const;
  void addLostDomains(std::set<std::string>& wanted, Instant now) const;
  void noteWhoIsHeard(Instant now);
  Round beginRound(const FleetReport& own, Instant now);
  FleetReport reportFor(const Round& round, FleetPeer* target, Instant now) const;
  static FleetReport reportToStranger(const Round& round);
  FleetReport ownReport(const Round& round, FleetPeer& receiver, Instant now) const;
  FleetReport domainReport(const Round& round, FleetPeer& receiver, Instant now) const;
  FleetReport fleetReport(const Round& round, FleetPeer& receiver, Instant now) const;
  static FleetPeer::MemberList sameOrNew(const FleetPeer::MemberList& before,
                                         std::vector<FleetMember> members);
  void tellMembers(FleetReport& report, FleetPeer::MemberList members, FleetPeer& target,
                   Instant now) const;
  std::vector<FleetMember> membersToTell(const Round& round, Instant now) const;
  void addRelays(FleetReport& report, const FleetMember& receiver, Instant now) const;
  void addDomain(FleetReport& report, Instant now) const;
  void addFleet(FleetReport& report, Instant now) const;
  void addSums(FleetReport& report, const FleetPeer& source) const;
  void countSpent(FleetPeer& sender, ReportScope scope, const SpentQuota& more);

  FleetRoster roster_;
  /// The list that receivers had most in common in the last period.
  FleetPeer::MemberList membersTold_;
  /// What this daemon heard of spending as a relay: by its domain's daemons, and by other domains.
  /// Both only rise, whoever is heard now: receivers take each rise of a relay's sums for spending,
  /// and a sum that fell with a lost domain would count as spent once more when it is back.
  SpentQuota spentByMembers_;
  SpentQuota spentByDomains_;
  FleetUsage usage_;
  FleetClock clock_;
  /// Since when all that are likely to run are heard.
  std::optional<Instant> hearsAllSince_;
  /// When incarnations' usage was told last.
  Instant usageTold_{};
  /// When this daemon was a relay last.
  Instant relayedAt_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETVIEW_H
