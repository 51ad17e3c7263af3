// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_FLEETROSTER_H
#define HALLCHUTE_FLEET_FLEETROSTER_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/FleetPeer.h"
#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Gateway/QuotaFleet.h"

namespace Hallchute {

/// \brief Tracks the daemons of the fleet, their liveness and the relay of each failure domain. Not
/// thread-safe; does no I/O and reads no clock. \ingroup Fleet
///
/// The relay of a failure domain is its live daemon with the most capacity; each daemon computes
/// this locally from the reports that it received. Cost: an election passes over all daemons and is
/// cached briefly; each liveCount() and expectedCount() is one pass.
class FleetRoster {
 public:
  /// Larger fleets report through relays. With twelve daemons, reporting to all costs each about
  /// 0.5 % of a processor; the fleet's cost grows with the square of its size.
  static constexpr std::size_t kSmallFleet = 12;

  FleetRoster(FleetMember self, Instant started) : self_(std::move(self)), started_(started) {}

  const FleetMember& self() const { return self_; }
  Instant started() const { return started_; }
  /// \brief Sets the services to whose upstreams this daemon can't open connections.
  void setLostPaths(std::vector<ServiceName> services) { self_.lostPaths = std::move(services); }
  std::map<DaemonId, FleetPeer>& peers() { return peers_; }
  const std::map<DaemonId, FleetPeer>& peers() const { return peers_; }
  /// \brief Addresses whose daemons may not have been discovered yet.
  const std::set<std::string>& addresses() const { return addresses_; }
  void addAddresses(std::span<const std::string> addresses);
  void noteEarlierSize(std::size_t daemons) { earlierSize_ = daemons; }
  /// \brief Processes the members listed in a report; \p scope decides whether the listing confirms
  /// that they are alive.
  void updateMembers(ReportScope scope, std::span<const FleetMember> members, Instant now);
  /// \brief Discards the cached election; to be called when an input of it has changed.
  void invalidateElection() { election_.reset(); }

  bool isSmall(Instant now) const;
  bool isRelay(Instant now) const;
  /// \brief The live daemon of a domain with the most capacity; empty if none is alive.
  DaemonId relayOf(const FailureDomainName& domain, Instant now) const;
  /// \brief The daemon that succeeds the own domain's relay; empty if there is none.
  DaemonId standby(Instant now) const;
  /// \brief Whether this daemon watches the store on behalf of its domain.
  bool watchesStore(Instant now) const;
  /// \brief The live daemons that watch the store, this one perhaps included: all in a small fleet,
  /// those of the highest precedence of each domain in a larger one. Never empty.
  std::vector<FleetMember> storeWatchers(Instant now) const;
  /// \brief Time for a report to reach all other daemons.
  Millis reportLag(Instant now) const;

  /// \brief Live daemons, this one included.
  std::size_t liveCount(Instant now) const;
  /// \brief Daemons that are likely to be running, reachable or not, this one included.
  std::size_t expectedCount(Instant now) const;
  /// \brief Daemons that may be sharing the slack of the retry budget, this one included: all that
  /// were seen in the last hour and didn't leave, as they may be running behind a cut, and all that
  /// are configured or were running before this one started. 0 during discovery.
  std::size_t retrySharers(Instant now) const;
  /// \brief Whether the other daemons are likely to have been discovered.
  bool discoveryComplete(Instant now) const;
  QuotaFleet quotaFleet(Instant now) const;
  std::uint64_t liveIncarnation(const DaemonId& daemon, Instant now) const;
  std::map<DaemonId, std::uint64_t> liveOthers(Instant now) const;
  std::vector<const FleetReport*> reports(Instant now) const;
  /// \brief Whether that incarnation of a daemon is alive and so reports its own usage.
  bool isLiveIncarnation(const DaemonId& daemon, std::uint64_t incarnation, Instant now) const;
  /// \brief Relay precedence within a domain: by capacity, descending, then by name.
  static bool ranksHigher(const FleetMember* a, const FleetMember* b);

 private:
  /// The relays by the liveness of the daemons at a point in time.
  struct Election {
    Instant at{};
    bool small = true;
    std::map<FailureDomainName, DaemonId> relays;
  };

  const Election& election(Instant now) const;
  /// The live daemons of a domain by precedence, at most \p most of them.
  std::vector<const FleetMember*> highestRanked(const FailureDomainName& domain, std::size_t most,
                                                Instant now) const;
  bool isOtherProcess(const FleetPeer& peer, const FleetMember& member, bool confirmed,
                      Instant now) const;

  FleetMember self_;
  Instant started_;
  std::map<DaemonId, FleetPeer> peers_;
  /// Recomputed once it is outdated or a report may have changed it.
  mutable std::optional<Election> election_;
  std::set<std::string> addresses_;
  /// 0 if unknown.
  std::size_t earlierSize_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETROSTER_H
