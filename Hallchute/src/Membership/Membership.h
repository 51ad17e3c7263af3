// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_MEMBERSHIP_MEMBERSHIP_H
#define HALLCHUTE_MEMBERSHIP_MEMBERSHIP_H

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "Hallchute/src/Membership/GossipMessage.h"
#include "Hallchute/src/Membership/Member.h"
#include "Hallchute/src/Membership/MembershipAction.h"
#include "Hallchute/src/Membership/MembershipPolicy.h"

namespace Hallchute {

/// \brief The daemons of the fleet, kept by probes with news on their back.
/// \ingroup Membership
///
/// After the SWIM protocol (Das, Gupta, Motivala 2002): random probes, suspicion, refutation by a
/// higher incarnation, piggybacked news. Members of other failure domains are probed seldom and
/// never suspected: between domains a cut is likelier than a death. One thread; no I/O, no clock;
/// draws from the seed passed in. Cost of a tick: one pass over the members.
class Membership {
 public:
  Membership(MembershipPolicy policy, MemberStatus self, std::uint64_t seed);

  /// \brief An address to probe until somebody answers there.
  void addSeed(const std::string& address);
  std::vector<MembershipAction> tick(Instant now);
  /// \brief What to say now; counts what is said, as each item is said a bounded number of times.
  /// \param peerKnows how many daemons its receiver knows; one that lags gets a larger batch.
  GossipMessage compose(Instant now, std::uint64_t peerKnows = UINT64_MAX);
  /// \brief Takes a batch that a peer sent or answered.
  std::vector<MembershipAction> receive(const GossipMessage& batch, Instant now);
  /// \brief The probe of \p target failed at once (refused, reset).
  std::vector<MembershipAction> probeFailed(const DaemonId& target, Instant now);
  /// \brief Starts to spread that an upstream leaves.
  std::vector<MembershipAction> announceLeave(const LeaveAnnouncement& news, Instant now);
  /// \brief This daemon stops: it owns nothing from now on.
  std::vector<MembershipAction> leave(Instant now);
  void setRevision(std::uint64_t revision) { self_.revision = revision; }
  void setHostsVersion(std::uint64_t version) { self_.hostsVersion = version; }

  const MemberStatus& self() const { return self_; }
  /// \brief Daemons of \p domain that may own shards, this one included, in order of their names.
  std::vector<DaemonId> owners(const DomainName& domain) const;
  /// \brief Whether \p id is this daemon or one not known to be dead.
  bool mayBeAlive(const DaemonId& id) const;
  const Member* find(const DaemonId& id) const;
  /// \brief All other members that are not dead.
  std::vector<Member> others() const;

 private:
  struct Rumour {
    std::size_t said = 0;
  };
  struct LeaveRumour {
    Instant end;
    LeaveSource source;
    std::size_t said = 0;
  };
  struct Outstanding {
    Instant since;
  };

  bool take(const MemberStatus& news, Instant now, bool spread);
  bool refute(const MemberStatus& news);
  void setState(Member& member, MemberState state, Instant now);
  void expire(Instant now, std::vector<MembershipAction>& actions);
  void probe(const Member& member, Instant now, std::vector<MembershipAction>& actions);
  const Member* nextTarget(bool foreign);
  void addForJoiner(GossipMessage& batch);
  std::uint64_t knownAlive() const;
  std::size_t sayLimit() const;
  void eager(Instant now, std::vector<MembershipAction>& actions);

  MembershipPolicy policy_;
  MemberStatus self_;
  std::mt19937_64 random_;
  std::map<DaemonId, Member> members_;
  std::map<DaemonId, Rumour> rumours_;
  std::map<UpstreamId, LeaveRumour> leaves_;
  std::map<DaemonId, Outstanding> outstanding_;
  std::set<std::string> seeds_;
  std::vector<DaemonId> round_;
  Instant lastTick_{};
  Instant nextProbe_{};
  std::size_t periods_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_MEMBERSHIP_H
