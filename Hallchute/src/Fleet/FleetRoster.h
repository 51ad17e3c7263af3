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
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/FleetPeer.h"
#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Gateway/QuotaFleet.h"

namespace Hallchute {

/// \brief Which daemons there are, which of them are heard of, and who relays for whom. One thread;
/// no I/O, no clock. \ingroup Fleet
///
/// The relay of a failure domain is its strongest daemon that is heard of; each daemon elects for
/// itself by what it received. Cost: a pass over all daemons for an election, which holds for a
/// moment; for heard() and known() one each time.
class FleetRoster {
 public:
  /// Above it, relays carry the reports: with twelve daemons the reports to all cost each about
  /// half a hundredth of a processor, and the cost grows with the square.
  static constexpr std::size_t kSmallFleet = 12;

  FleetRoster(FleetMember self, Instant started) : self_(std::move(self)), started_(started) {}

  const FleetMember& self() const { return self_; }
  Instant started() const { return started_; }
  std::map<DaemonId, FleetPeer>& peers() { return peers_; }
  const std::map<DaemonId, FleetPeer>& peers() const { return peers_; }
  /// \brief Addresses whose daemons may not be known yet.
  const std::set<std::string>& addresses() const { return addresses_; }
  void addAddresses(std::span<const std::string> addresses);
  void noteEarlierSize(std::size_t daemons) { earlierSize_ = daemons; }
  /// \brief Members that a report names; \p scope tells whether its sender vouches for them.
  void noteMembers(ReportScope scope, std::span<const FleetMember> members, Instant now);
  /// \brief Something changed that relays are elected by.
  void forgetElection() { election_.reset(); }

  bool isSmall(Instant now) const;
  bool isRelay(Instant now) const;
  /// \brief The strongest daemon of a domain that is heard of; empty if none is.
  DaemonId relayOf(const DomainName& domain, Instant now) const;
  /// \brief The one that is to follow on the own domain's relay.
  DaemonId deputy(Instant now) const;
  /// \brief Whether this daemon is one of those of its domain that watch the store for others.
  bool watchesStore(Instant now) const;
  /// \brief How long what a daemon reports takes to reach all others.
  Millis reportLag(Instant now) const;

  std::size_t heard(Instant now) const;
  std::size_t known(Instant now) const;
  /// \brief Whether the others are likely to be known.
  bool discoveryComplete(Instant now) const;
  QuotaFleet quotaFleet(Instant now) const;
  std::uint64_t liveIncarnation(const DaemonId& daemon, Instant now) const;
  std::map<DaemonId, std::uint64_t> liveOthers(Instant now) const;
  std::vector<const FleetReport*> reports(Instant now) const;
  /// \brief Whether that incarnation of a daemon is heard of, so that it reports for itself.
  bool speaksForItself(const DaemonId& daemon, std::uint64_t incarnation, Instant now) const;
  /// \brief Orders the daemons of a domain: more capacity first, then by name.
  static bool isStronger(const FleetMember* a, const FleetMember* b);

 private:
  /// Who carries reports, as daemons are heard at a moment.
  struct Election {
    Instant at{};
    bool small = true;
    std::map<DomainName, DaemonId> relays;
  };

  const Election& election(Instant now) const;
  /// The daemons of a domain that are heard of, strongest first; \p most of them.
  std::vector<DaemonId> strongestOf(const DomainName& domain, std::size_t most, Instant now) const;
  bool isAnother(const FleetPeer& peer, const FleetMember& member, bool vouched, Instant now) const;

  FleetMember self_;
  Instant started_;
  std::map<DaemonId, FleetPeer> peers_;
  /// Found anew when it is old, or a report may have changed it.
  mutable std::optional<Election> election_;
  std::set<std::string> addresses_;
  /// 0 if nothing tells.
  std::size_t earlierSize_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETROSTER_H
