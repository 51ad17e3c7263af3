// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/FleetRoster.h"

#include <algorithm>
#include <utility>

namespace Hallchute {
namespace {

/// Maximum age of a cached election that no report has invalidated: it also changes as daemons time
/// out. A twentieth of the liveness timeout.
constexpr Millis kElectionMaxAge{50};
/// Daemons per domain that watch the store in a large fleet: one may lose its connection to it.
constexpr std::size_t kWatchersPerDomain = 2;
/// Time for a report to reach all others: in a small fleet one report period and the network
/// latency; in a large one it passes two relays, each of which waits for its next report.
constexpr Millis kDirectLag{250};
constexpr Millis kRelayedLag{500};
/// How long daemons that start together take to discover each other: several report periods through
/// two relays.
constexpr Millis kDiscoveryTime{1'200};
/// Incarnations are start times in milliseconds of the wall clock: a daemon that started this much
/// earlier has completed its discovery.
constexpr std::uint64_t kEstablishedLeadMs = 3'000;
/// How long a daemon that vanished without a word counts as sharing the retry slack: as long as
/// regions may be cut off from each other.
constexpr Millis kSharerRetention{3'600'000};
/// The quota share during discovery if the size of the fleet is unknown: assumes 100 daemons.
constexpr double kDiscoveryQuotaShare = 0.01;

}  // namespace

void FleetRoster::addAddresses(std::span<const std::string> addresses) {
  for (const std::string& address : addresses) {
    if (!address.empty() && address != self_.address) addresses_.insert(address);
  }
}

bool FleetRoster::ranksHigher(const FleetMember* a, const FleetMember* b) {
  return a->capacity != b->capacity ? a->capacity > b->capacity : a->daemon < b->daemon;
}

const FleetRoster::Election& FleetRoster::election(Instant now) const {
  if (election_ && now >= election_->at && now - election_->at < kElectionMaxAge) return *election_;
  Election found;
  found.at = now;
  std::map<FailureDomainName, const FleetMember*> highest{{self_.domain, &self_}};
  std::size_t recent = 1;
  for (const auto& [daemon, peer] : peers_) {
    if (FleetPeer::isRecent(peer.lastSeenAt, now, FleetPeer::kPeerRetention)) ++recent;
    if (!peer.alive(now)) continue;
    const FleetMember& member = peer.report.self;
    const FleetMember*& best = highest[member.domain];
    if (best == nullptr || ranksHigher(&member, best)) best = &member;
  }
  found.small = recent <= kSmallFleet;
  for (const auto& [domain, member] : highest) found.relays[domain] = member->daemon;
  election_ = std::move(found);
  return *election_;
}

bool FleetRoster::isSmall(Instant now) const {
  return election(now).small;
}

std::vector<const FleetMember*> FleetRoster::highestRanked(const FailureDomainName& domain,
                                                           std::size_t most, Instant now) const {
  std::vector<const FleetMember*> members;
  if (self_.domain == domain) members.push_back(&self_);
  for (const auto& [daemon, peer] : peers_) {
    const FleetMember& member = peer.report.self;
    if (member.domain == domain && peer.alive(now)) members.push_back(&member);
  }
  const std::size_t count = std::min(most, members.size());
  const auto end = members.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(members.begin(), end, members.end(), ranksHigher);
  members.resize(count);
  return members;
}

DaemonId FleetRoster::relayOf(const FailureDomainName& domain, Instant now) const {
  const Election& found = election(now);
  const auto it = found.relays.find(domain);
  return it == found.relays.end() ? DaemonId() : it->second;
}

bool FleetRoster::watchesStore(Instant now) const {
  if (isSmall(now)) return true;
  const auto watchers = highestRanked(self_.domain, kWatchersPerDomain, now);
  return std::find(watchers.begin(), watchers.end(), &self_) != watchers.end();
}

std::vector<FleetMember> FleetRoster::storeWatchers(Instant now) const {
  std::vector<FleetMember> watchers;
  if (isSmall(now)) {
    watchers.push_back(self_);
    for (const auto& [daemon, peer] : peers_) {
      if (peer.alive(now)) watchers.push_back(peer.report.self);
    }
    return watchers;
  }
  for (const auto& [domain, relay] : election(now).relays) {
    for (const FleetMember* member : highestRanked(domain, kWatchersPerDomain, now)) {
      watchers.push_back(*member);
    }
  }
  if (watchers.empty()) watchers.push_back(self_);
  return watchers;
}

Millis FleetRoster::reportLag(Instant now) const {
  return isSmall(now) ? kDirectLag : kRelayedLag;
}

bool FleetRoster::isRelay(Instant now) const {
  return relayOf(self_.domain, now) == self_.daemon;
}

/// Whether \p member, as listed by a third daemon, is a different process of \p peer's daemon than
/// the recorded one.
bool FleetRoster::isOtherProcess(const FleetPeer& peer, const FleetMember& member, bool confirmed,
                                 Instant now) const {
  const std::uint64_t present = peer.report.self.incarnation;
  if (member.incarnation == present ||
      FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout))
    return false;
  return member.incarnation > present || (confirmed && !peer.alive(now));
}

void FleetRoster::updateMembers(ReportScope scope, std::span<const FleetMember> members,
                                Instant now) {
  const bool confirmed = scope == ReportScope::domain || scope == ReportScope::fleet;
  for (const FleetMember& member : members) {
    if (member.daemon == self_.daemon) continue;
    FleetPeer& peer = peers_[member.daemon];
    if (isOtherProcess(peer, member, confirmed, now)) {
      peer.report = FleetReport{};
      peer.report.self = member;
      peer.reportedAt = Instant{};
      election_.reset();
    }
    if (confirmed && !peer.alive(now)) election_.reset();
    if (confirmed || peer.lastSeenAt == Instant{}) peer.lastSeenAt = now;
    if (!confirmed || member.incarnation != peer.report.self.incarnation) continue;
    peer.confirmedAliveAt = now;
    const bool reportsItself =
        FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout);
    if (!reportsItself) peer.report.self.lostPaths = member.lostPaths;
  }
}

bool FleetRoster::isLiveIncarnation(const DaemonId& daemon, std::uint64_t incarnation,
                                    Instant now) const {
  const auto it = peers_.find(daemon);
  if (it == peers_.end() || !it->second.alive(now)) return false;
  return it->second.report.self.incarnation == incarnation;
}

DaemonId FleetRoster::standby(Instant now) const {
  const auto ranked = highestRanked(self_.domain, kWatchersPerDomain, now);
  return ranked.size() == kWatchersPerDomain ? ranked.back()->daemon : DaemonId();
}

std::size_t FleetRoster::liveCount(Instant now) const {
  return 1 + static_cast<std::size_t>(
                 std::count_if(peers_.begin(), peers_.end(),
                               [&](const auto& entry) { return entry.second.alive(now); }));
}

std::size_t FleetRoster::expectedCount(Instant now) const {
  std::size_t count = 1;
  std::set<std::string> undiscovered = addresses_;
  for (const auto& [daemon, peer] : peers_) {
    undiscovered.erase(peer.report.self.address);
    if (!peer.report.leaving &&
        FleetPeer::isRecent(peer.lastSeenAt, now, FleetPeer::kPeerRetention))
      ++count;
  }
  // Right after a start the daemons at the configured addresses are running but have not reported.
  const bool starting = liveCount(now) == 1;
  if (starting) count += undiscovered.size();
  return now - started_ < FleetPeer::kPeerRetention ? std::max(count, earlierSize_) : count;
}

std::size_t FleetRoster::retrySharers(Instant now) const {
  if (!discoveryComplete(now)) return 0;
  std::set<std::string> undiscovered = addresses_;
  std::size_t count = 1;
  for (const auto& [daemon, peer] : peers_) {
    undiscovered.erase(peer.report.self.address);
    const bool seen = FleetPeer::isRecent(peer.lastSeenAt, now, kSharerRetention);
    if (seen && !peer.report.leaving) ++count;
  }
  count += undiscovered.size();
  return now - started_ < kSharerRetention ? std::max(count, earlierSize_) : count;
}

bool FleetRoster::discoveryComplete(Instant now) const {
  if (now - started_ >= kDiscoveryTime) return true;
  // A daemon that was running before this one started knows the fleet and reports it at once.
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const FleetReport& report = entry.second.report;
    return FleetPeer::isRecent(entry.second.reportedAt, now, FleetPeer::kLivenessTimeout) &&
           report.self.incarnation + kEstablishedLeadMs <= self_.incarnation;
  });
}

QuotaFleet FleetRoster::quotaFleet(Instant now) const {
  QuotaFleet fleet;
  fleet.liveDaemons = liveCount(now);
  fleet.reportLag = reportLag(now);
  const auto all = static_cast<double>(std::max<std::size_t>(1, expectedCount(now)));
  fleet.discovering = !discoveryComplete(now);
  if (fleet.discovering) {
    fleet.discoveryTimeLeft = std::chrono::duration_cast<Millis>(started_ + kDiscoveryTime - now);
  }
  if (!fleet.discovering || earlierSize_ > 0) fleet.ownShare = 1 / all;
  fleet.liveFraction = fleet.discovering
                           ? fleet.ownShare.value_or(kDiscoveryQuotaShare)
                           : std::min(1.0, static_cast<double>(fleet.liveDaemons) / all);
  return fleet;
}

std::uint64_t FleetRoster::liveIncarnation(const DaemonId& daemon, Instant now) const {
  const auto it = peers_.find(daemon);
  if (it == peers_.end() || !it->second.alive(now)) return 0;
  return it->second.report.self.incarnation;
}

std::map<DaemonId, std::uint64_t> FleetRoster::liveOthers(Instant now) const {
  std::map<DaemonId, std::uint64_t> others;
  for (const auto& [daemon, peer] : peers_) {
    if (peer.alive(now)) others[daemon] = peer.report.self.incarnation;
  }
  return others;
}

std::vector<const FleetReport*> FleetRoster::reports(Instant now) const {
  std::vector<const FleetReport*> reports;
  for (const auto& [daemon, peer] : peers_) {
    if (FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout))
      reports.push_back(&peer.report);
  }
  return reports;
}

}  // namespace Hallchute
