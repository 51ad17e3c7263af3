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
#include <utility>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/FleetClock.h"
#include "Hallchute/src/Fleet/FleetPeer.h"
#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Fleet/FleetRoster.h"
#include "Hallchute/src/Fleet/FleetUsage.h"
#include "Hallchute/src/Fleet/ForwardingPeer.h"
#include "Hallchute/src/Fleet/OriginHolders.h"
#include "Hallchute/src/Fleet/SlotCoordinator.h"
#include "Hallchute/src/Gateway/LimitFleet.h"
#include "Hallchute/src/Gateway/QuotaFleet.h"

namespace Hallchute {

/// \brief Changes that a received report brings. \ingroup Fleet
struct FleetUpdate {
  SpentQuota newlySpent;
  std::vector<UpstreamIncarnation> draining;
  /// The sender reported for the first time or has restarted.
  bool newIncarnation = false;
  /// The sender lost its path to a service, or regained it.
  bool lostPathsChanged = false;
};

/// \brief A report and its destination address. \ingroup Fleet
struct AddressedReport {
  std::string address;
  FleetReport report;
};

/// \brief Aggregates the reports of the other daemons and composes this daemon's own. Not
/// thread-safe; does no I/O and reads no clock. \ingroup Fleet
///
/// In a small fleet every daemon reports to every other one. In a larger one the daemon with the
/// most capacity in each failure domain is its relay: the domain's daemons report to it, relays
/// exchange their domains' sums, and each relay sends its domain's daemons the sums of all others.
/// A relay that times out is replaced by the next daemon in rank. Cost per report period: for a
/// daemon, one report each way; for a relay, one each way for each daemon of its domain and for
/// each other domain, and one pass over all daemons for the sums.
class FleetView {
 public:
  /// \param started when this daemon started; discovery of its peers is timed from here.
  explicit FleetView(FleetMember self, Instant started = {})
      : roster_(std::move(self), started), usage_(roster_.self()) {}

  /// \brief Adds addresses to report to until their daemons are discovered.
  void addAddresses(std::span<const std::string> addresses) { roster_.addAddresses(addresses); }
  /// \brief Sets the services to whose upstreams this daemon can't open connections, for its
  /// reports.
  void setLostPaths(std::vector<ServiceName> services) {
    roster_.setLostPaths(std::move(services));
  }
  /// \brief Compares the host's wall clock, as time since the Unix epoch, with those of the other
  /// daemons; to be called before the first compose() and periodically.
  void noteWallClock(Millis wallClock, Instant now);
  /// \brief The fleet-wide wall clock; see FleetClock.
  const FleetClock& clock() const { return clock_; }
  FleetUpdate receive(const FleetReport& report, Instant now);
  /// \brief The reports to send now. \param own this daemon's own counters and state.
  std::vector<AddressedReport> compose(const FleetReport& own, Instant now);
  /// \brief Number of live daemons, seen directly or through a relay, this one included.
  std::size_t liveCount(Instant now) const { return roster_.liveCount(now); }
  /// \brief Number of daemons that are likely to be running, reachable or not, this one included.
  std::size_t expectedCount(Instant now) const { return roster_.expectedCount(now); }
  /// \brief Number of daemons that share the slack of the retry budget; see
  /// FleetRoster::retrySharers().
  std::size_t retrySharers(Instant now) const { return roster_.retrySharers(now); }
  /// \brief Whether this daemon is likely to have discovered the others since its start.
  bool discoveryComplete(Instant now) const { return roster_.discoveryComplete(now); }
  /// \brief Whether all daemons that are likely to be running have been live for as long as they
  /// need to report the usage of incarnations that ended.
  bool usageComplete(Instant now) const;
  /// \brief Sets the fleet's size before this daemon started, as recorded in the store. It is a
  /// lower bound of the assumed size while peers may still be undiscovered.
  void noteEarlierSize(std::size_t daemons) { roster_.noteEarlierSize(daemons); }
  /// \brief Input of the quota shares: the fraction of the daemons that is live; close to 0 while
  /// the size of the fleet is unknown.
  QuotaFleet quotaFleet(Instant now) const { return roster_.quotaFleet(now); }
  /// \brief The daemons among which upstreams' limits are divided.
  LimitFleet limitFleet(Instant now) const;
  /// \brief The daemon that passes a request on; see chooseForwardingPeer().
  std::optional<FleetMember> forwardingPeer(const ServiceName& service,
                                            const std::string& requestId,
                                            const std::set<DaemonId>& excluded, Instant now) const {
    return chooseForwardingPeer(roster_, service, requestId, excluded, now);
  }
  /// \brief The daemons to tell of a stream's origin, and to ask for it; see originHolders().
  std::vector<FleetMember> originHolders(StreamKey stream, Instant now) const {
    return Hallchute::originHolders(roster_, stream, kOriginHolders, now);
  }
  std::vector<FleetMember> originHoldersToAsk(StreamKey stream, Instant now) const {
    return Hallchute::originHolders(roster_, stream, kOriginHoldersAsked, now);
  }
  ArchiveShards archiveShards(Instant now) const { return Hallchute::archiveShards(roster_, now); }
  /// \brief The daemon that grants an upstream's slots, unless it is this one; see
  /// slotCoordinator().
  std::optional<FleetMember> slotCoordinator(const UpstreamId& upstream, bool leaving,
                                             Instant now) const {
    return Hallchute::slotCoordinator(roster_, upstream, leaving, now);
  }
  /// \brief The live daemons as a fraction of those that are likely to be running; 0 while the
  /// others may be undiscovered.
  double liveFraction(Instant now) const;
  UpstreamLoads loadsElsewhere(Instant now) const;
  /// \brief Requests that wait for admission at other live daemons.
  WaitingLoads waitingElsewhere(Instant now) const;
  /// \brief Time since the oldest of the reports that loadsElsewhere() sums; zero without any.
  Millis loadsAge(Instant now) const;
  /// \brief Evidence of running rollouts from all other daemons with a recent report. Counts fall
  /// when a daemon is lost.
  VersionEvidences evidenceElsewhere(Instant now) const;
  /// \brief Usage of all daemons and their earlier incarnations, without this incarnation's own.
  /// The time is ignored, as counted usage doesn't expire.
  UsageByWindow usageElsewhere(Instant) const { return usage_.elsewhere(); }
  void forgetUsageBefore(std::int64_t firstWindow) { usage_.forgetBefore(firstWindow); }
  /// \brief The incarnation of \p daemon if it is live, directly or through a relay; 0 otherwise.
  std::uint64_t liveIncarnation(const DaemonId& daemon, Instant now) const {
    return roster_.liveIncarnation(daemon, now);
  }
  /// \brief All other live daemons with their incarnations.
  std::map<DaemonId, std::uint64_t> liveOthers(Instant now) const {
    return roster_.liveOthers(now);
  }
  /// \brief The last reports of daemons that reported to this one recently, in order of their
  /// names.
  std::vector<const FleetReport*> reports(Instant now) const { return roster_.reports(now); }
  bool isRelay(Instant now) const { return roster_.isRelay(now); }
  /// \brief Whether this daemon passes on to others what it is told: all do in a small fleet, where
  /// two daemons may reach each other only through a third; in a larger one the relays.
  bool forwards(Instant now) const { return roster_.isSmall(now) || roster_.isRelay(now); }
  /// \brief The relay of the own failure domain as elected locally.
  DaemonId ownRelay(Instant now) const { return roster_.relayOf(self().domain, now); }
  /// \brief Time for a report to reach all other daemons.
  Millis reportLag(Instant now) const { return roster_.reportLag(now); }
  /// \brief Whether this daemon watches the store: all do in a small fleet, in a larger one the two
  /// highest-ranked of each failure domain.
  bool watchesStore(Instant now) const { return roster_.watchesStore(now); }

 private:
  const FleetMember& self() const { return roster_.self(); }
  /// The parts of one period's reports that are common to several receivers.
  struct Round {
    bool small = true;
    bool relay = false;
    /// Whether to send the fleet report to the daemons of the own domain: true for a relay and, for
    /// the handover time, a former relay.
    bool reportsToDomain = false;
    /// The member list for all receivers in the own domain.
    FleetPeer::MemberList members;
    /// Usage by incarnation, empty if not due; see FleetReport::incarnations.
    std::vector<IncarnationUsage> incarnations;
    /// Set along with `incarnations`. It receives the relay's usage data for the own domain and
    /// reports its own in turn, as the relays of all domains may fail at once.
    DaemonId standby;
    /// This daemon's own report.
    FleetReport own;
    /// Report to the daemons of the own domain.
    FleetReport fleet;
    /// Report to other domains.
    FleetReport domain;
  };

  /// Whether \p report is included in this daemon's sums, so that nothing is counted twice.
  bool countsInSums(const FleetReport& report, Instant now) const;
  void recordUsage(const FleetReport& report);
  std::vector<IncarnationUsage> incarnationsToSend(const Round& round, Instant now) const;
  IncarnationUsage ownUsage(const Round& round) const;
  bool reportsToDomain(Instant now) const;
  std::set<std::string> targets(Instant now) const;
  bool isMistakenRelay(const FleetPeer& peer, Instant now) const;
  void limitExpired(std::set<std::string>& targetAddresses, Instant now) const;
  void addUnreachableDomains(std::set<std::string>& targetAddresses, Instant now) const;
  void updateAllLiveSince(Instant now);
  Round beginRound(const FleetReport& own, Instant now);
  FleetReport reportFor(const Round& round, FleetPeer* target, Instant now) const;
  static FleetReport reportToUnknown(const Round& round);
  FleetReport ownReport(const Round& round, FleetPeer& receiver, Instant now) const;
  FleetReport domainReport(const Round& round, FleetPeer& receiver, Instant now) const;
  FleetReport fleetReport(const Round& round, FleetPeer& receiver, Instant now) const;
  static FleetPeer::MemberList reuseIfEqual(const FleetPeer::MemberList& before,
                                            std::vector<FleetMember> members);
  void attachMembers(FleetReport& report, FleetPeer::MemberList members, FleetPeer& target,
                     Instant now) const;
  std::vector<FleetMember> membersToSend(const Round& round, Instant now) const;
  void addRelays(FleetReport& report, const FleetMember& receiver, Instant now) const;
  void addDomainTotals(FleetReport& report, Instant now) const;
  void addFleetTotals(FleetReport& report, Instant now) const;
  void addPeerTotals(FleetReport& report, const FleetPeer& source) const;
  void recordSpent(FleetPeer& sender, ReportScope scope, const SpentQuota& more);

  FleetRoster roster_;
  /// The last period's member list for receivers in the own domain.
  FleetPeer::MemberList sentMembers_;
  /// Spending reported to this daemon as a relay, by its domain's daemons and by other domains.
  /// Both never decrease, whichever daemons are live: receivers treat each increase of a relay's
  /// sums as new spending, and a sum that fell with a lost domain would be counted again on its
  /// return.
  SpentQuota spentByMembers_;
  SpentQuota spentByDomains_;
  FleetUsage usage_;
  FleetClock clock_;
  /// When all daemons that are likely to be running became live.
  std::optional<Instant> allLiveSince_;
  /// When usage by incarnation was last sent.
  Instant usageSentAt_{};
  /// When this daemon last was a relay.
  Instant lastRelayAt_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETVIEW_H
