// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Membership/Membership.h"

#include <algorithm>
#include <cmath>

namespace Hallchute {
namespace {

/// How often an item is said, per doubling of the number of members.
constexpr std::size_t kSayFactor = 3;
/// A leave is remembered this long past its end, so that late news don't start it anew.
constexpr Millis kLeaveMemory{60'000};

bool owns(MemberState state) {
  return state == MemberState::alive || state == MemberState::suspect;
}

}  // namespace

Membership::Membership(MembershipPolicy policy, MemberStatus self, std::uint64_t seed)
    : policy_(policy), self_(std::move(self)), random_(seed) {}

void Membership::addSeed(const std::string& address) {
  if (address != self_.address) seeds_.insert(address);
}

std::size_t Membership::sayLimit() const {
  const double doublings = std::ceil(std::log2(static_cast<double>(members_.size() + 2)));
  return kSayFactor * static_cast<std::size_t>(doublings);
}

std::vector<MembershipAction> Membership::tick(Instant now) {
  std::vector<MembershipAction> actions;
  const bool first = lastTick_ == Instant{};
  const auto gap = std::chrono::duration_cast<Millis>(now - lastTick_);
  lastTick_ = now;
  if (!first && gap >= policy_.pauseLimit) {
    ++self_.incarnation;
    outstanding_.clear();
    for (auto& [id, member] : members_) member.since = now;
    actions.emplace_back(LongPauseDetected{gap});
  }
  expire(now, actions);
  if (now < nextProbe_) return actions;
  nextProbe_ = now + policy_.period;
  ++periods_;
  if (const Member* target = nextTarget(false)) probe(*target, now, actions);
  if (periods_ % policy_.foreignEvery == 0) {
    if (const Member* target = nextTarget(true)) probe(*target, now, actions);
  }
  for (const std::string& address : seeds_) actions.emplace_back(SendProbe{DaemonId(), address});
  return actions;
}

void Membership::expire(Instant now, std::vector<MembershipAction>& actions) {
  bool changed = false;
  for (auto it = outstanding_.begin(); it != outstanding_.end();) {
    if (now - it->second.since < policy_.answerLimit) {
      ++it;
      continue;
    }
    const auto member = members_.find(it->first);
    const bool own = member != members_.end() && member->second.status.domain == self_.domain;
    if (own && member->second.status.state == MemberState::alive) {
      setState(member->second, MemberState::suspect, now);
    }
    it = outstanding_.erase(it);
  }
  for (auto it = members_.begin(); it != members_.end();) {
    Member& member = it->second;
    const bool own = member.status.domain == self_.domain;
    const bool wasOwner = owns(member.status.state);
    if (own && member.status.state == MemberState::suspect &&
        now - member.since >= policy_.suspicion) {
      setState(member, MemberState::dead, now);
      changed = changed || wasOwner;
    }
    const bool forget =
        member.status.state == MemberState::dead && now - member.since >= policy_.deadMemory;
    it = forget ? members_.erase(it) : std::next(it);
  }
  std::erase_if(leaves_, [&](const auto& entry) { return now >= entry.second.end + kLeaveMemory; });
  if (changed) actions.emplace_back(OwnersChanged{});
}

void Membership::setState(Member& member, MemberState state, Instant now) {
  member.status.state = state;
  member.since = now;
  rumours_[member.status.id] = Rumour{};
}

const Member* Membership::nextTarget(bool foreign) {
  const auto eligible = [&](const Member& member) {
    return member.status.state != MemberState::dead &&
           (member.status.domain != self_.domain) == foreign;
  };
  if (foreign) {
    std::vector<const Member*> found;
    for (const auto& [id, member] : members_) {
      if (eligible(member)) found.push_back(&member);
    }
    return found.empty() ? nullptr : found[random_() % found.size()];
  }
  // Each member once a round, in a new random order each round, bounds the time to detection.
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!round_.empty()) {
      const auto it = members_.find(round_.back());
      round_.pop_back();
      if (it != members_.end() && eligible(it->second)) return &it->second;
    }
    for (const auto& [id, member] : members_) {
      if (eligible(member)) round_.push_back(id);
    }
    std::shuffle(round_.begin(), round_.end(), random_);
  }
  return nullptr;
}

void Membership::probe(const Member& member, Instant now, std::vector<MembershipAction>& actions) {
  outstanding_.emplace(member.status.id, Outstanding{now});
  actions.emplace_back(SendProbe{member.status.id, member.status.address});
}

std::uint64_t Membership::knownAlive() const {
  const auto alive = std::count_if(members_.begin(), members_.end(), [](const auto& entry) {
    return entry.second.status.state != MemberState::dead;
  });
  return static_cast<std::uint64_t>(alive) + 1;
}

/// A peer that lags behind is told a random part of all members, rumour or not.
void Membership::addForJoiner(GossipMessage& batch) {
  std::vector<const Member*> all;
  for (const auto& [id, member] : members_) {
    if (member.status.state != MemberState::dead) all.push_back(&member);
  }
  std::shuffle(all.begin(), all.end(), random_);
  if (all.size() > policy_.membersForJoiner) all.resize(policy_.membersForJoiner);
  for (const Member* member : all) batch.members.push_back(member->status);
}

GossipMessage Membership::compose(Instant now, std::uint64_t peerKnows) {
  GossipMessage batch;
  batch.sender = self_;
  batch.known = knownAlive();
  if (peerKnows < batch.known) {
    addForJoiner(batch);
    return batch;
  }
  const std::size_t limit = sayLimit();
  std::vector<std::pair<std::size_t, DaemonId>> fresh;
  for (const auto& [id, rumour] : rumours_) fresh.emplace_back(rumour.said, id);
  std::sort(fresh.begin(), fresh.end());
  if (fresh.size() > policy_.membersPerMessage) fresh.resize(policy_.membersPerMessage);
  for (const auto& [said, id] : fresh) {
    const auto member = members_.find(id);
    if (member != members_.end()) batch.members.push_back(member->second.status);
    if (member == members_.end() || said + 1 >= limit) {
      rumours_.erase(id);
    } else {
      ++rumours_[id].said;
    }
  }
  // With nothing new to say, one member at random repairs what was missed.
  if (fresh.empty() && !members_.empty()) {
    const auto offset = static_cast<std::ptrdiff_t>(random_() % members_.size());
    batch.members.push_back(std::next(members_.begin(), offset)->second.status);
  }
  for (auto& [upstream, leave] : leaves_) {
    if (leave.said >= limit || batch.leaves.size() >= policy_.leavesPerMessage) continue;
    ++leave.said;
    const auto left = std::chrono::duration_cast<Millis>(leave.end - now);
    batch.leaves.push_back({upstream, std::max(left, Millis(0)), leave.source});
  }
  return batch;
}

std::vector<MembershipAction> Membership::receive(const GossipMessage& batch, Instant now) {
  std::vector<MembershipAction> actions;
  seeds_.erase(batch.sender.address);
  outstanding_.erase(batch.sender.id);
  bool changed = false;
  // What a joiner is told in bulk is news to nobody else.
  const bool bulk = batch.members.size() > policy_.membersPerMessage;
  for (const MemberStatus& status : batch.members) changed = take(status, now, !bulk) || changed;
  changed = take(batch.sender, now, true) || changed;
  if (const auto sender = members_.find(batch.sender.id); sender != members_.end()) {
    sender->second.heard = now;
    sender->second.status.revision = batch.sender.revision;
    sender->second.status.hostsVersion = batch.sender.hostsVersion;
    if (sender->second.status.state == MemberState::suspect) {
      setState(sender->second, MemberState::alive, now);
    }
  }
  if (changed) actions.emplace_back(OwnersChanged{});
  if (batch.sender.revision > self_.revision) {
    actions.emplace_back(NewerSettings{batch.sender.address, batch.sender.revision});
  }
  if (batch.sender.hostsVersion > self_.hostsVersion) {
    actions.emplace_back(NewerHosts{batch.sender.address, batch.sender.hostsVersion});
  }
  for (const LeaveAnnouncement& status : batch.leaves) {
    for (MembershipAction& action : announceLeave(status, now))
      actions.push_back(std::move(action));
  }
  return actions;
}

/// \returns whether the set of possible owners changed.
bool Membership::take(const MemberStatus& status, Instant now, bool spread) {
  if (status.id == self_.id) return refute(status);
  const auto [it, isNew] = members_.try_emplace(status.id, Member{status, now, Instant{}});
  Member& member = it->second;
  if (isNew) {
    if (spread) rumours_[status.id] = Rumour{};
    return owns(status.state);
  }
  if (status.incarnation < member.status.incarnation) return false;
  const bool sameLife = status.incarnation == member.status.incarnation;
  if (sameLife && status.state <= member.status.state) {
    member.status.revision = std::max(member.status.revision, status.revision);
    return false;
  }
  const bool owned = owns(member.status.state);
  member.status = status;
  member.since = now;
  rumours_[status.id] = Rumour{};
  return owned != owns(status.state) || !sameLife;
}

bool Membership::refute(const MemberStatus& status) {
  const bool wrong = status.state == MemberState::suspect || status.state == MemberState::dead;
  if (wrong && status.incarnation >= self_.incarnation) self_.incarnation = status.incarnation + 1;
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

std::vector<MembershipAction> Membership::announceLeave(const LeaveAnnouncement& status,
                                                        Instant now) {
  std::vector<MembershipAction> actions;
  const Instant end = now + status.remaining;
  const auto [it, isNew] = leaves_.try_emplace(status.upstream, LeaveRumour{end, status.source, 0});
  if (!isNew) {
    it->second.end = std::min(it->second.end, end);
    return actions;
  }
  actions.emplace_back(LeaveDiscovered{status});
  eager(now, actions);
  return actions;
}

/// Urgent news don't wait for the next period: they go to a few peers at once.
void Membership::eager(Instant now, std::vector<MembershipAction>& actions) {
  for (std::size_t i = 0; i < policy_.eagerFanout; ++i) {
    if (const Member* target = nextTarget(false)) probe(*target, now, actions);
  }
}

std::vector<MembershipAction> Membership::leave(Instant now) {
  std::vector<MembershipAction> actions;
  self_.state = MemberState::leaving;
  actions.emplace_back(OwnersChanged{});
  eager(now, actions);
  return actions;
}

std::vector<DaemonId> Membership::owners(const DomainName& domain) const {
  std::vector<DaemonId> found;
  if (domain == self_.domain && owns(self_.state)) found.push_back(self_.id);
  for (const auto& [id, member] : members_) {
    if (member.status.domain == domain && owns(member.status.state)) found.push_back(id);
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
