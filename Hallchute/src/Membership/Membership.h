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

/// \brief The member table of the fleet, maintained by probes with piggybacked updates.
/// \ingroup Membership
///
/// After the SWIM protocol (Das, Gupta, Motivala 2002): random probes, suspicion, refutation by a
/// higher incarnation, piggybacked updates. Members of other failure domains are probed less often
/// and never suspected: between failure domains a network partition is more likely than a crash.
/// Not thread-safe. Does no I/O, reads no clock and draws random numbers from the given seed only.
/// A tick is linear in the number of members.
class Membership {
 public:
  Membership(MembershipPolicy policy, MemberStatus self, std::uint64_t seed);

  /// \brief Adds an address to probe until a daemon answers from it.
  void addSeed(const std::string& address);
  std::vector<MembershipAction> tick(Instant now);
  /// \brief Builds the next message. Counts each update's transmissions, which are bounded.
  /// \param peerMemberCount how many daemons the receiver knows; one that knows fewer gets a larger
  /// message.
  GossipMessage compose(Instant now, std::uint64_t peerMemberCount = UINT64_MAX);
  /// \brief Applies a message received from a peer, either a probe or an answer.
  std::vector<MembershipAction> receive(const GossipMessage& message, Instant now);
  /// \brief Reports that the probe of \p target failed at once (connection refused or reset).
  std::vector<MembershipAction> probeFailed(const DaemonId& target, Instant now);
  /// \brief Starts to disseminate the leave of an upstream.
  std::vector<MembershipAction> announceLeave(const LeaveAnnouncement& announcement, Instant now);
  /// \brief Marks this daemon as leaving: it owns no shards from now on.
  std::vector<MembershipAction> leave(Instant now);
  void setRevision(std::uint64_t revision) { self_.revision = revision; }
  void setHostsVersion(std::uint64_t version) { self_.hostsVersion = version; }

  const MemberStatus& self() const { return self_; }
  /// \brief Daemons of \p domain that may own shards, this one included, ordered by id.
  std::vector<DaemonId> owners(const FailureDomainName& domain) const;
  /// \brief Whether \p id is this daemon or a known member that is not dead.
  bool mayBeAlive(const DaemonId& id) const;
  const Member* find(const DaemonId& id) const;
  /// \brief All other members that are not dead.
  std::vector<Member> others() const;

 private:
  struct PendingUpdate {
    std::size_t sendCount = 0;
  };
  struct PendingLeave {
    Instant end;
    LeaveSource source;
    std::size_t sendCount = 0;
  };
  struct OutstandingProbe {
    Instant sentAt;
  };

  bool applyUpdate(const MemberStatus& news, Instant now, bool disseminate);
  bool refute(const MemberStatus& news);
  void setState(Member& member, MemberState state, Instant now);
  void expireTimeouts(Instant now, std::vector<MembershipAction>& actions);
  void probe(const Member& member, Instant now, std::vector<MembershipAction>& actions);
  const Member* nextTarget(bool otherDomain);
  void addRandomMembers(GossipMessage& message);
  std::uint64_t memberCount() const;
  std::size_t retransmitLimit() const;
  void probeImmediately(Instant now, std::vector<MembershipAction>& actions);

  MembershipPolicy policy_;
  MemberStatus self_;
  std::mt19937_64 random_;
  std::map<DaemonId, Member> members_;
  std::map<DaemonId, PendingUpdate> pendingUpdates_;
  std::map<UpstreamId, PendingLeave> leaves_;
  std::map<DaemonId, OutstandingProbe> outstanding_;
  std::set<std::string> seeds_;
  std::vector<DaemonId> probeOrder_;
  Instant lastTick_{};
  Instant nextProbe_{};
  std::size_t periods_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_MEMBERSHIP_H
