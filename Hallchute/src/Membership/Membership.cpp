// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Membership/Membership.h"

#include <algorithm>
#include <cmath>

namespace Hallchute {
namespace {

/// Transmissions of an update per doubling of the number of members.
constexpr std::size_t kRetransmitFactor = 3;
/// How long a leave is kept past its end, so that a late message does not announce it again.
constexpr Millis kLeaveRetention{60'000};

bool mayOwnShards(MemberState state) {
  return state == MemberState::alive || state == MemberState::suspect;
}

}  // namespace

Membership::Membership(MembershipPolicy policy, MemberStatus self, std::uint64_t seed)
    : policy_(policy), self_(std::move(self)), random_(seed) {}

void Membership::addSeed(const std::string& address) {
  if (address != self_.address) seeds_.insert(address);
}

std::size_t Membership::retransmitLimit() const {
  const double doublings = std::ceil(std::log2(static_cast<double>(members_.size() + 2)));
  return kRetransmitFactor * static_cast<std::size_t>(doublings);
}

std::vector<MembershipAction> Membership::tick(Instant now) {
  std::vector<MembershipAction> actions;
  const bool isFirstTick = lastTick_ == Instant{};
  const auto gap = std::chrono::duration_cast<Millis>(now - lastTick_);
  lastTick_ = now;
  if (!isFirstTick && gap >= policy_.pauseThreshold) {
    ++self_.incarnation;
    outstanding_.clear();
    for (auto& [id, member] : members_) member.stateSince = now;
    actions.emplace_back(LongPauseDetected{gap});
  }
  expireTimeouts(now, actions);
  if (now < nextProbe_) return actions;
  nextProbe_ = now + policy_.period;
  ++periods_;
  if (const Member* target = nextTarget(false)) probe(*target, now, actions);
  if (periods_ % policy_.otherDomainPeriods == 0) {
    if (const Member* target = nextTarget(true)) probe(*target, now, actions);
  }
  for (const std::string& address : seeds_) actions.emplace_back(SendProbe{DaemonId(), address});
  return actions;
}

void Membership::expireTimeouts(Instant now, std::vector<MembershipAction>& actions) {
  bool ownersChanged = false;
  for (auto it = outstanding_.begin(); it != outstanding_.end();) {
    if (now - it->second.sentAt < policy_.probeTimeout) {
      ++it;
      continue;
    }
    const auto member = members_.find(it->first);
    const bool inOwnDomain =
        member != members_.end() && member->second.status.domain == self_.domain;
    if (inOwnDomain && member->second.status.state == MemberState::alive) {
      setState(member->second, MemberState::suspect, now);
    }
    it = outstanding_.erase(it);
  }
  for (auto it = members_.begin(); it != members_.end();) {
    Member& member = it->second;
    const bool inOwnDomain = member.status.domain == self_.domain;
    const bool wasPossibleOwner = mayOwnShards(member.status.state);
    if (inOwnDomain && member.status.state == MemberState::suspect &&
        now - member.stateSince >= policy_.suspicionTimeout) {
      setState(member, MemberState::dead, now);
      ownersChanged = ownersChanged || wasPossibleOwner;
    }
    const bool expired = member.status.state == MemberState::dead &&
                         now - member.stateSince >= policy_.deadMemberRetention;
    it = expired ? members_.erase(it) : std::next(it);
  }
  std::erase_if(leaves_,
                [&](const auto& entry) { return now >= entry.second.end + kLeaveRetention; });
  if (ownersChanged) actions.emplace_back(OwnersChanged{});
}

void Membership::setState(Member& member, MemberState state, Instant now) {
  member.status.state = state;
  member.stateSince = now;
  pendingUpdates_[member.status.id] = PendingUpdate{};
}

const Member* Membership::nextTarget(bool otherDomain) {
  const auto eligible = [&](const Member& member) {
    return member.status.state != MemberState::dead &&
           (member.status.domain != self_.domain) == otherDomain;
  };
  if (otherDomain) {
    std::vector<const Member*> found;
    for (const auto& [id, member] : members_) {
      if (eligible(member)) found.push_back(&member);
    }
    return found.empty() ? nullptr : found[random_() % found.size()];
  }
  // Probing each member once per round, in a new random order, bounds the failure detection time.
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!probeOrder_.empty()) {
      const auto it = members_.find(probeOrder_.back());
      probeOrder_.pop_back();
      if (it != members_.end() && eligible(it->second)) return &it->second;
    }
    for (const auto& [id, member] : members_) {
      if (eligible(member)) probeOrder_.push_back(id);
    }
    std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
  }
  return nullptr;
}

void Membership::probe(const Member& member, Instant now, std::vector<MembershipAction>& actions) {
  outstanding_.emplace(member.status.id, OutstandingProbe{now});
  actions.emplace_back(SendProbe{member.status.id, member.status.address});
}

std::uint64_t Membership::memberCount() const {
  const auto alive = std::count_if(members_.begin(), members_.end(), [](const auto& entry) {
    return entry.second.status.state != MemberState::dead;
  });
  return static_cast<std::uint64_t>(alive) + 1;
}

/// Adds a random subset of all members, whether or not they have pending updates.
void Membership::addRandomMembers(GossipMessage& message) {
  std::vector<const Member*> all;
  for (const auto& [id, member] : members_) {
    if (member.status.state != MemberState::dead) all.push_back(&member);
  }
  std::shuffle(all.begin(), all.end(), random_);
  if (all.size() > policy_.membersForLaggingPeer) all.resize(policy_.membersForLaggingPeer);
  for (const Member* member : all) message.members.push_back(member->status);
}

GossipMessage Membership::compose(Instant now, std::uint64_t peerMemberCount) {
  GossipMessage message;
  message.sender = self_;
  message.known = memberCount();
  if (peerMemberCount < message.known) {
    addRandomMembers(message);
    return message;
  }
  const std::size_t limit = retransmitLimit();
  std::vector<std::pair<std::size_t, DaemonId>> selected;
  for (const auto& [id, update] : pendingUpdates_) selected.emplace_back(update.sendCount, id);
  std::sort(selected.begin(), selected.end());
  if (selected.size() > policy_.membersPerMessage) selected.resize(policy_.membersPerMessage);
  for (const auto& [sendCount, id] : selected) {
    const auto member = members_.find(id);
    if (member != members_.end()) message.members.push_back(member->second.status);
    if (member == members_.end() || sendCount + 1 >= limit) {
      pendingUpdates_.erase(id);
    } else {
      ++pendingUpdates_[id].sendCount;
    }
  }
  // Without pending updates, a random member is sent to repair updates that were lost.
  if (selected.empty() && !members_.empty()) {
    const auto offset = static_cast<std::ptrdiff_t>(random_() % members_.size());
    message.members.push_back(std::next(members_.begin(), offset)->second.status);
  }
  for (auto& [upstream, leave] : leaves_) {
    if (leave.sendCount >= limit || message.leaves.size() >= policy_.leavesPerMessage) continue;
    ++leave.sendCount;
    const auto left = std::chrono::duration_cast<Millis>(leave.end - now);
    message.leaves.push_back({upstream, std::max(left, Millis(0)), leave.source});
  }
  return message;
}

std::vector<MembershipAction> Membership::receive(const GossipMessage& message, Instant now) {
  std::vector<MembershipAction> actions;
  seeds_.erase(message.sender.address);
  outstanding_.erase(message.sender.id);
  bool ownersChanged = false;
  // Members from a full sync are already known to the other peers: not disseminated further.
  const bool fullSync = message.members.size() > policy_.membersPerMessage;
  for (const MemberStatus& status : message.members)
    ownersChanged = applyUpdate(status, now, !fullSync) || ownersChanged;
  ownersChanged = applyUpdate(message.sender, now, true) || ownersChanged;
  if (const auto sender = members_.find(message.sender.id); sender != members_.end()) {
    sender->second.lastReceived = now;
    sender->second.status.revision = message.sender.revision;
    sender->second.status.hostsVersion = message.sender.hostsVersion;
    if (sender->second.status.state == MemberState::suspect) {
      setState(sender->second, MemberState::alive, now);
    }
  }
  if (ownersChanged) actions.emplace_back(OwnersChanged{});
  if (message.sender.revision > self_.revision) {
    actions.emplace_back(NewerSettings{message.sender.address, message.sender.revision});
  }
  if (message.sender.hostsVersion > self_.hostsVersion) {
    actions.emplace_back(NewerHosts{message.sender.address, message.sender.hostsVersion});
  }
  for (const LeaveAnnouncement& announcement : message.leaves) {
    for (MembershipAction& action : announceLeave(announcement, now))
      actions.push_back(std::move(action));
  }
  return actions;
}

/// \returns whether the set of members that may own shards changed.
bool Membership::applyUpdate(const MemberStatus& status, Instant now, bool disseminate) {
  if (status.id == self_.id) return refute(status);
  const auto [it, isNew] = members_.try_emplace(status.id, Member{status, now, Instant{}});
  Member& member = it->second;
  if (isNew) {
    if (disseminate) pendingUpdates_[status.id] = PendingUpdate{};
    return mayOwnShards(status.state);
  }
  if (status.incarnation < member.status.incarnation) return false;
  const bool sameIncarnation = status.incarnation == member.status.incarnation;
  if (sameIncarnation && status.state <= member.status.state) {
    member.status.revision = std::max(member.status.revision, status.revision);
    return false;
  }
  const bool couldOwnShards = mayOwnShards(member.status.state);
  member.status = status;
  member.stateSince = now;
  pendingUpdates_[status.id] = PendingUpdate{};
  return couldOwnShards != mayOwnShards(status.state) || !sameIncarnation;
}

bool Membership::refute(const MemberStatus& status) {
  const bool refutable = status.state == MemberState::suspect || status.state == MemberState::dead;
  if (refutable && status.incarnation >= self_.incarnation)
    self_.incarnation = status.incarnation + 1;
  return false;
}

std::vector<MembershipAction> Membership::probeFailed(const DaemonId& target, Instant now) {
  outstanding_.erase(target);
  const auto it = members_.find(target);
  if (it == members_.end() || it->second.status.domain != self_.domain) return {};
  if (it->second.status.state == MemberState::alive)
    setState(it->second, MemberState::suspect, now);
  return {};
}

std::vector<MembershipAction> Membership::announceLeave(const LeaveAnnouncement& announcement,
                                                        Instant now) {
  std::vector<MembershipAction> actions;
  const Instant end = now + announcement.remaining;
  const auto [it, isNew] =
      leaves_.try_emplace(announcement.upstream, PendingLeave{end, announcement.source, 0});
  if (!isNew) {
    it->second.end = std::min(it->second.end, end);
    return actions;
  }
  actions.emplace_back(LeaveDiscovered{announcement});
  probeImmediately(now, actions);
  return actions;
}

/// Sends urgent updates to a few peers at once instead of in the next probe period.
void Membership::probeImmediately(Instant now, std::vector<MembershipAction>& actions) {
  for (std::size_t i = 0; i < policy_.immediateProbes; ++i) {
    if (const Member* target = nextTarget(false)) probe(*target, now, actions);
  }
}

std::vector<MembershipAction> Membership::leave(Instant now) {
  std::vector<MembershipAction> actions;
  self_.state = MemberState::leaving;
  actions.emplace_back(OwnersChanged{});
  probeImmediately(now, actions);
  return actions;
}

std::vector<DaemonId> Membership::owners(const FailureDomainName& domain) const {
  std::vector<DaemonId> found;
  if (domain == self_.domain && mayOwnShards(self_.state)) found.push_back(self_.id);
  for (const auto& [id, member] : members_) {
    if (member.status.domain == domain && mayOwnShards(member.status.state)) found.push_back(id);
  }
  std::sort(found.begin(), found.end());
  return found;
}

bool Membership::mayBeAlive(const DaemonId& id) const {
  if (id == self_.id) return true;
  const auto it = members_.find(id);
  return it != members_.end() && it->second.status.state != MemberState::dead;
}

const Member* Membership::find(const DaemonId& id) const {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<Member> Membership::others() const {
  std::vector<Member> found;
  for (const auto& [id, member] : members_) {
    if (member.status.state != MemberState::dead) found.push_back(member);
  }
  return found;
}

}  // namespace Hallchute
