// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/FleetRoster.h"

#include <algorithm>
#include <utility>

namespace Hallchute {
namespace {

/// How old a choice of relays may be that no report has changed: it changes as daemons fall silent,
/// a twentieth of the time after which one counts as silent.
constexpr Millis kElectionAge{50};
/// Daemons of a domain that watch the store in a large fleet: one may be cut off from it.
constexpr std::size_t kFollowersOfDomain = 2;
/// How long a daemon's word takes to the others: a report period and the way in a small fleet; in a
/// large one by two relays, each of which waits for its next report.
constexpr Millis kDirectLag{250};
constexpr Millis kRelayedLag{500};
/// How long daemons that start together take to know each other: some report periods by two relays.
constexpr Millis kMeetTime{1'200};
/// Incarnations are starts in milliseconds of the wall clock: one that began this much earlier has
/// met the others long ago.
constexpr std::uint64_t kSettledLife = 3'000;
/// The part of quotas before that: as if the fleet were a hundred.
constexpr double kUnmetPart = 0.01;

}  // namespace

void FleetRoster::addAddresses(std::span<const std::string> addresses) {
  for (const std::string& address : addresses) {
    if (!address.empty() && address != self_.address) addresses_.insert(address);
  }
}

bool FleetRoster::isStronger(const FleetMember* a, const FleetMember* b) {
  return a->capacity != b->capacity ? a->capacity > b->capacity : a->daemon < b->daemon;
}

const FleetRoster::Election& FleetRoster::election(Instant now) const {
  if (election_ && now >= election_->at && now - election_->at < kElectionAge) return *election_;
  Election found;
  found.at = now;
  std::map<DomainName, const FleetMember*> strongest{{self_.domain, &self_}};
  std::size_t seen = 1;
  for (const auto& [daemon, peer] : peers_) {
    if (FleetPeer::within(peer.seen, now, FleetPeer::kKnownFor)) ++seen;
    if (!peer.alive(now)) continue;
    const FleetMember& member = peer.report.self;
    const FleetMember*& best = strongest[member.domain];
    if (best == nullptr || isStronger(&member, best)) best = &member;
  }
  found.small = seen <= kSmallFleet;
  for (const auto& [domain, member] : strongest) found.relays[domain] = member->daemon;
  election_ = std::move(found);
  return *election_;
}

bool FleetRoster::isSmall(Instant now) const {
  return election(now).small;
}

std::vector<DaemonId> FleetRoster::strongestOf(const DomainName& domain, std::size_t most,
                                               Instant now) const {
  std::vector<const FleetMember*> members;
  if (self_.domain == domain) members.push_back(&self_);
  for (const auto& [daemon, peer] : peers_) {
    const FleetMember& member = peer.report.self;
    if (member.domain == domain && peer.alive(now)) members.push_back(&member);
  }
  const std::size_t count = std::min(most, members.size());
  const auto end = members.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(members.begin(), end, members.end(), isStronger);
  std::vector<DaemonId> strongest;
  for (std::size_t i = 0; i < count; ++i) strongest.push_back(members[i]->daemon);
  return strongest;
}

DaemonId FleetRoster::relayOf(const DomainName& domain, Instant now) const {
  const Election& found = election(now);
  const auto it = found.relays.find(domain);
  return it == found.relays.end() ? DaemonId() : it->second;
}

bool FleetRoster::watchesStore(Instant now) const {
  if (isSmall(now)) return true;
  const std::vector<DaemonId> followers = strongestOf(self_.domain, kFollowersOfDomain, now);
  return std::find(followers.begin(), followers.end(), self_.daemon) != followers.end();
}

Millis FleetRoster::reportLag(Instant now) const {
  return isSmall(now) ? kDirectLag : kRelayedLag;
}

bool FleetRoster::isRelay(Instant now) const {
  return relayOf(self_.domain, now) == self_.daemon;
}

/// Whether hearsay of a daemon is of another process than the one that is known.
bool FleetRoster::isAnother(const FleetPeer& peer, const FleetMember& member, bool vouched,
                            Instant now) const {
  const std::uint64_t present = peer.report.self.incarnation;
  if (member.incarnation == present || FleetPeer::within(peer.reported, now, FleetPeer::kHeardFor))
    return false;
  return member.incarnation > present || (vouched && !peer.alive(now));
}

void FleetRoster::noteMembers(ReportScope scope, std::span<const FleetMember> members,
                              Instant now) {
  const bool vouched = scope == ReportScope::domain || scope == ReportScope::fleet;
  for (const FleetMember& member : members) {
    if (member.daemon == self_.daemon) continue;
    FleetPeer& peer = peers_[member.daemon];
    if (isAnother(peer, member, vouched, now)) {
      peer.report = FleetReport{};
      peer.report.self = member;
      peer.reported = Instant{};
      election_.reset();
    }
    if (vouched && !peer.alive(now)) election_.reset();
    if (vouched || peer.seen == Instant{}) peer.seen = now;
    if (vouched && member.incarnation == peer.report.self.incarnation) peer.vouched = now;
  }
}

bool FleetRoster::speaksForItself(const DaemonId& daemon, std::uint64_t incarnation,
                                  Instant now) const {
  const auto it = peers_.find(daemon);
  if (it == peers_.end() || !it->second.alive(now)) return false;
  return it->second.report.self.incarnation == incarnation;
}

DaemonId FleetRoster::deputy(Instant now) const {
  const std::vector<DaemonId> strongest = strongestOf(self_.domain, kFollowersOfDomain, now);
  return strongest.size() == kFollowersOfDomain ? strongest.back() : DaemonId();
}

std::size_t FleetRoster::heard(Instant now) const {
  return 1 + static_cast<std::size_t>(
                 std::count_if(peers_.begin(), peers_.end(),
                               [&](const auto& entry) { return entry.second.alive(now); }));
}

std::size_t FleetRoster::known(Instant now) const {
  std::size_t count = 1;
  std::set<std::string> unmet = addresses_;
  for (const auto& [daemon, peer] : peers_) {
    unmet.erase(peer.report.self.address);
    if (!peer.report.leaving && FleetPeer::within(peer.seen, now, FleetPeer::kKnownFor)) ++count;
  }
  // Right after a start the others are there and not yet heard.
  const bool starting = heard(now) == 1;
  if (starting) count += unmet.size();
  return now - started_ < FleetPeer::kKnownFor ? std::max(count, earlierSize_) : count;
}

bool FleetRoster::discoveryComplete(Instant now) const {
  if (now - started_ >= kMeetTime) return true;
  // One that ran before this daemon's start knows the fleet and tells it at once.
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const FleetReport& report = entry.second.report;
    return FleetPeer::within(entry.second.reported, now, FleetPeer::kHeardFor) &&
           report.self.incarnation + kSettledLife <= self_.incarnation;
  });
}

QuotaFleet FleetRoster::quotaFleet(Instant now) const {
  QuotaFleet fleet;
  fleet.heard = heard(now);
  fleet.reportLag = reportLag(now);
  const auto all = static_cast<double>(std::max<std::size_t>(1, known(now)));
  fleet.discovering = !discoveryComplete(now);
  if (fleet.discovering) {
    fleet.discoveryTimeLeft = std::chrono::duration_cast<Millis>(started_ + kMeetTime - now);
  }
  if (!fleet.discovering || earlierSize_ > 0) fleet.ownShare = 1 / all;
  fleet.liveFraction = fleet.discovering ? fleet.ownShare.value_or(kUnmetPart)
                                         : std::min(1.0, static_cast<double>(fleet.heard) / all);
  return fleet;
}

std::uint64_t FleetRoster::liveIncarnation(const DaemonId& daemon, Instant now) const {
  const auto it = peers_.find(daemon);
  if (it == peers_.end() || !it->second.alive(now)) return 0;
  return it->second.report.self.incarnation;
}

std::map<DaemonId, std::uint64_t> FleetRoster::liveOthers(Instant now) const {
  std::map<DaemonId, std::uint64_t> heard;
  for (const auto& [daemon, peer] : peers_) {
    if (peer.alive(now)) heard[daemon] = peer.report.self.incarnation;
  }
  return heard;
}

std::vector<const FleetReport*> FleetRoster::reports(Instant now) const {
  std::vector<const FleetReport*> reports;
  for (const auto& [daemon, peer] : peers_) {
    if (FleetPeer::within(peer.reported, now, FleetPeer::kHeardFor))
      reports.push_back(&peer.report);
  }
  return reports;
}

}  // namespace Hallchute
