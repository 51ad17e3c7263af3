// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/FleetView.h"

#include <algorithm>
#include <utility>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Fleet/ReportSums.h"

namespace Hallchute {
namespace {

/// How often an unchanged member list is sent again, for receivers that missed it.
constexpr Millis kMembersInterval{2'000};
/// For this long after its start a daemon adopts the peers' clock at once, as its host's clock may
/// have been wrong from the start. Several report periods more than discovery takes.
constexpr Millis kClockSyncTime{3'000};
/// How often usage by incarnation is sent; it is many times the size of the sums in every report.
/// Well within the 2.5 s between a window's end and the time its counts are read.
constexpr Millis kUsageInterval{1'000};
/// How long a relay that was replaced keeps sending its domain the fleet report, which lists the
/// new relay: three report periods. Otherwise the domain's daemons receive nothing until the old
/// relay times out, and take themselves for relays.
constexpr Millis kRelayHandover{600};
/// Daemons of an unreachable domain that a relay contacts at a time: the highest-ranked may be
/// down.
constexpr std::size_t kCandidatesPerDomain = 3;
/// How long each further candidate is contacted: a few report periods.
constexpr Millis kCandidateInterval{600};
/// How long reports are sent to a daemon's address all the time after the daemon was last seen.
constexpr Millis kContactExpiry{60'000};

}  // namespace

bool FleetView::countsInSums(const FleetReport& report, Instant now) const {
  const bool ownDomain = report.self.domain == self().domain;
  switch (report.scope) {
    case ReportScope::broadcast:
      return roster_.isSmall(now);
    case ReportScope::member:
      return ownDomain && roster_.isRelay(now);
    case ReportScope::domain:
      return !ownDomain && roster_.isRelay(now) &&
             roster_.relayOf(report.self.domain, now) == report.self.daemon;
    case ReportScope::fleet:
      return ownDomain && roster_.relayOf(self().domain, now) == report.self.daemon;
  }
  return false;
}

FleetUpdate FleetView::receive(const FleetReport& report, Instant now) {
  FleetUpdate update;
  if (report.self.daemon == self().daemon) return update;
  FleetPeer& peer = roster_.peers()[report.self.daemon];
  FleetReport& last = peer.report;
  // A lower incarnation is a delayed report of the previous process, unless the known incarnation
  // has gone silent: then the daemon restarted after its host's clock was set back.
  const bool lowerIncarnation = report.self.incarnation < last.self.incarnation;
  if (lowerIncarnation && FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout))
    return update;
  const bool hadReported = peer.reportedAt != Instant{};
  const bool sameIncarnation = report.self.incarnation == last.self.incarnation;
  update.newIncarnation = !hadReported || !sameIncarnation;
  update.lostPathsChanged = report.self.lostPaths != last.self.lostPaths;
  // Not counted as new spending: totals of a daemon's first report, totals over another scope, and
  // spending while unreachable, which came out of the share reserved for that daemon. Spending
  // since a restart counts.
  const bool continuous = FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout);
  const bool comparable = continuous && sameIncarnation && report.scope == last.scope;
  const bool restarted = hadReported && !sameIncarnation;
  if ((comparable || restarted) && countsInSums(report, now)) {
    for (const auto& [organisation, spent] : report.spent) {
      const auto before = last.spent.find(organisation);
      const bool hasBase = comparable && before != last.spent.end();
      const double increase = spent - (hasBase ? before->second : 0);
      if (increase > 0) update.newlySpent[organisation] = increase;
    }
    recordSpent(peer, report.scope, update.newlySpent);
  }
  for (const UpstreamIncarnation& upstream : report.draining) {
    const auto& previous = last.draining;
    if (std::find(previous.begin(), previous.end(), upstream) == previous.end()) {
      update.draining.push_back(upstream);
    }
  }
  std::vector<FleetMember> members = report.members;
  if (report.membersUnchanged) members = std::move(last.members);
  // The report may change which daemon is the relay.
  if (update.newIncarnation || report.leaving || !peer.alive(now) || last.self != report.self) {
    roster_.invalidateElection();
  }
  peer.report = report;
  // Merged by the receiver's ledgers and not needed again.
  peer.report.crashes.clear();
  peer.report.limits.clear();
  peer.report.rejectionLimits.clear();
  peer.report.rollouts.clear();
  peer.reportedAt = now;
  peer.lastSeenAt = now;
  peer.clockOffset = report.wallClock - std::chrono::duration_cast<Millis>(now.time_since_epoch());
  roster_.updateMembers(report.scope, members, now);
  peer.report.members = std::move(members);
  recordUsage(report);
  return update;
}

void FleetView::recordSpent(FleetPeer& sender, ReportScope scope, const SpentQuota& more) {
  if (scope == ReportScope::domain) addSpent(spentByDomains_, more);
  if (scope != ReportScope::member) return;
  addSpent(spentByMembers_, more);
  addSpent(sender.spentAsMember, more);
}

void FleetView::recordUsage(const FleetReport& report) {
  switch (report.scope) {
    case ReportScope::broadcast:
    case ReportScope::member:
      usage_.noteSelfReport(report.self, report.usage);
      break;
    case ReportScope::domain:
      usage_.noteDomainSums(report.self.domain, report.usage);
      break;
    case ReportScope::fleet:
      usage_.noteFleetSums(report.usage);
      break;
  }
  for (const IncarnationUsage& counted : report.incarnations) usage_.noteIncarnation(counted);
}

/// Returns the usage of incarnations that no longer report themselves and, on a relay, of its own
/// domain, which would be lost if this relay failed.
std::vector<IncarnationUsage> FleetView::incarnationsToSend(const Round& round, Instant now) const {
  const auto chosen = [&](const DaemonId& daemon, std::uint64_t incarnation,
                          const FailureDomainName& domain) {
    if (round.relay && domain == self().domain) return true;
    return !roster_.isLiveIncarnation(daemon, incarnation, now);
  };
  std::vector<IncarnationUsage> usages = usage_.incarnations(chosen);
  if (round.relay) usages.push_back(ownUsage(round));
  return usages;
}

IncarnationUsage FleetView::ownUsage(const Round& round) const {
  return {self().daemon, self().incarnation, self().domain, round.own.usage};
}

std::set<std::string> FleetView::targets(Instant now) const {
  const bool small = roster_.isSmall(now);
  const bool relay = !small && roster_.isRelay(now);
  const bool servesDomain = reportsToDomain(now);
  const DaemonId ownRelay = roster_.relayOf(self().domain, now);
  std::set<std::string> targetAddresses;
  std::size_t heardDirectly = 0;
  for (const auto& [daemon, peer] : roster_.peers()) {
    const bool direct = FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout);
    if (direct) ++heardDirectly;
    // A daemon that still reports to all has not learned yet that the fleet uses relays.
    const bool newcomer = peer.report.scope == ReportScope::broadcast;
    const bool domainMember = servesDomain && peer.report.self.domain == self().domain;
    bool chosen =
        (direct && (newcomer || domainMember || isMistakenRelay(peer, now))) || daemon == ownRelay;
    if (small) chosen = FleetPeer::isRecent(peer.lastSeenAt, now, kContactExpiry);
    if (relay && roster_.relayOf(peer.report.self.domain, now) == daemon) chosen = true;
    if (chosen) targetAddresses.insert(peer.report.self.address);
  }
  if (relay) addUnreachableDomains(targetAddresses, now);
  // Relays, and daemons without live peers, keep reporting to the seed addresses, which new daemons
  // contact first.
  if (small || relay || heardDirectly == 0) {
    targetAddresses.insert(roster_.addresses().begin(), roster_.addresses().end());
  }
  if (small) limitExpired(targetAddresses, now);
  targetAddresses.erase(self().address);
  return targetAddresses;
}

/// Daemons that were not seen for long are contacted in rotation: they may be gone, or a partition
/// may have ended.
void FleetView::limitExpired(std::set<std::string>& targetAddresses, Instant now) const {
  std::vector<std::string> expired;
  for (const auto& [daemon, peer] : roster_.peers()) {
    if (FleetPeer::isRecent(peer.lastSeenAt, now, kContactExpiry)) continue;
    expired.push_back(peer.report.self.address);
    targetAddresses.erase(expired.back());
  }
  if (expired.empty()) return;
  const auto turn = static_cast<std::size_t>(now.time_since_epoch() / kCandidateInterval);
  targetAddresses.insert(expired[turn % expired.size()]);
}

/// Whether \p peer acts as a relay although another daemon is the elected one. After the elected
/// relay stalls for a second, the two may not know of each other, and each aggregates a part of the
/// domain that nobody adds up. Every daemon that receives such a report therefore answers with the
/// elected relay. Without this, only 49 of 59 loads were received from a stall on, permanently
/// (virtual time, 60 daemons).
bool FleetView::isMistakenRelay(const FleetPeer& peer, Instant now) const {
  const FleetMember& member = peer.report.self;
  return peer.report.scope == ReportScope::domain && !peer.report.leaving &&
         roster_.relayOf(member.domain, now) != member.daemon;
}

/// Adds formerly known daemons of each domain without a live relay, and of the own domain: after a
/// relay stops, each daemon of its domain takes itself for the next relay until it receives a
/// report of a higher-ranked one.
void FleetView::addUnreachableDomains(std::set<std::string>& targetAddresses, Instant now) const {
  std::map<FailureDomainName, std::vector<const FleetMember*>> unreachable;
  for (const auto& [daemon, peer] : roster_.peers()) {
    const FleetMember& member = peer.report.self;
    if (!FleetPeer::isRecent(peer.lastSeenAt, now, kContactExpiry) || peer.alive(now)) continue;
    const bool own = member.domain == self().domain;
    if (own || roster_.relayOf(member.domain, now).empty())
      unreachable[member.domain].push_back(&member);
  }
  for (auto& [domain, members] : unreachable) {
    std::sort(members.begin(), members.end(), FleetRoster::ranksHigher);
    const std::size_t candidates = std::min(members.size(), kCandidatesPerDomain);
    for (std::size_t i = 0; i < candidates; ++i) targetAddresses.insert(members[i]->address);
    // All of these may be down: the others are contacted in rotation.
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / kCandidateInterval);
    targetAddresses.insert(members[turn % members.size()]->address);
  }
}

void FleetView::noteWallClock(Millis wallClock, Instant now) {
  const Millis monotonic = std::chrono::duration_cast<Millis>(now.time_since_epoch());
  std::vector<Millis> offsets{wallClock - monotonic};
  for (const auto& [daemon, peer] : roster_.peers()) {
    const FleetReport& report = peer.report;
    const bool fresh = FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout);
    if (!fresh || report.wallClock == Millis(0)) continue;
    // A relay's clock is the fleet's, and its members receive no other clock: it gets twice the
    // weight, to outvote the own host.
    const std::size_t weight = report.scope == ReportScope::fleet ? 2 : 1;
    offsets.insert(offsets.end(), weight, peer.clockOffset);
  }
  clock_.adjust(std::move(offsets), now - roster_.started() < kClockSyncTime, now);
}

void FleetView::updateAllLiveSince(Instant now) {
  const bool all =
      roster_.discoveryComplete(now) && roster_.liveCount(now) >= roster_.expectedCount(now);
  if (!all) allLiveSince_.reset();
  if (all && !allLiveSince_) allLiveSince_ = now;
}

bool FleetView::usageComplete(Instant now) const {
  const Millis propagationTime = kUsageInterval + 2 * roster_.reportLag(now);
  return allLiveSince_ && now - *allLiveSince_ >= propagationTime;
}

std::vector<AddressedReport> FleetView::compose(const FleetReport& own, Instant now) {
  updateAllLiveSince(now);
  std::map<std::string, FleetPeer*> byAddress;
  for (auto& [daemon, peer] : roster_.peers()) byAddress[peer.report.self.address] = &peer;
  const Round round = beginRound(own, now);
  std::vector<AddressedReport> reports;
  for (const std::string& address : targets(now)) {
    const auto it = byAddress.find(address);
    FleetPeer* const target = it == byAddress.end() ? nullptr : it->second;
    reports.push_back({address, reportFor(round, target, now)});
  }
  return reports;
}

bool FleetView::reportsToDomain(Instant now) const {
  return !roster_.isSmall(now) &&
         (roster_.isRelay(now) || FleetPeer::isRecent(lastRelayAt_, now, kRelayHandover));
}

FleetView::Round FleetView::beginRound(const FleetReport& own, Instant now) {
  Round round;
  round.small = roster_.isSmall(now);
  round.relay = !round.small && roster_.isRelay(now);
  if (round.relay) lastRelayAt_ = now;
  round.reportsToDomain = reportsToDomain(now);
  round.own = own;
  round.own.self = self();
  if (!round.small) round.own.scope = ReportScope::member;
  sentMembers_ = reuseIfEqual(sentMembers_, membersToSend(round, now));
  round.members = sentMembers_;
  if (now - usageSentAt_ >= kUsageInterval) {
    usageSentAt_ = now;
    round.standby = roster_.standby(now);
    round.incarnations = incarnationsToSend(round, now);
  }
  if (round.relay) {
    round.domain = round.own;
    round.domain.wallClock = clock_.at(now);
    addDomainTotals(round.domain, now);
    round.domain.incarnations = round.incarnations;
  }
  if (round.reportsToDomain) {
    round.fleet = round.own;
    round.fleet.wallClock = clock_.at(now);
    addFleetTotals(round.fleet, now);
  }
  return round;
}

/// Returns the member list for receivers in the own domain, and for all receivers in a small fleet.
/// Small fleets list all daemons, a relay lists the live daemons, any other daemon the relays.
std::vector<FleetMember> FleetView::membersToSend(const Round& round, Instant now) const {
  std::vector<FleetMember> members;
  if (!round.small) members.push_back(self());
  for (const auto& [daemon, peer] : roster_.peers()) {
    const FleetMember& member = peer.report.self;
    // A daemon that contacts a non-relay learns the relays' addresses.
    const bool named = round.small
                           ? FleetPeer::isRecent(peer.lastSeenAt, now, FleetPeer::kPeerRetention)
                       : round.reportsToDomain ? peer.alive(now)
                                               : roster_.relayOf(member.domain, now) == daemon;
    if (named) members.push_back(member);
  }
  return members;
}

/// \param target null if no daemon is known at the address.
FleetReport FleetView::reportFor(const Round& round, FleetPeer* target, Instant now) const {
  if (target == nullptr) return reportToUnknown(round);
  const FleetMember& receiver = target->report.self;
  if (receiver.domain != self().domain) {
    return round.relay ? domainReport(round, *target, now) : ownReport(round, *target, now);
  }
  // A relay that replaced this one gets the report of an ordinary member.
  const bool toRelay = !round.relay && roster_.relayOf(self().domain, now) == receiver.daemon;
  const bool sendsFleetReport = round.reportsToDomain && !toRelay;
  return sendsFleetReport ? fleetReport(round, *target, now) : ownReport(round, *target, now);
}

FleetReport FleetView::reportToUnknown(const Round& round) {
  if (round.relay) return round.domain;
  FleetReport report = round.own;
  report.members = *round.members;
  return report;
}

FleetReport FleetView::ownReport(const Round& round, FleetPeer& receiver, Instant now) const {
  FleetReport report = round.own;
  if (round.small || round.standby == self().daemon) report.incarnations = round.incarnations;
  attachMembers(report, round.members, receiver, now);
  return report;
}

/// Report to another domain: the own domain's sums and the other domains' relays.
FleetReport FleetView::domainReport(const Round& round, FleetPeer& receiver, Instant now) const {
  FleetReport report = round.domain;
  addRelays(report, receiver.report.self, now);
  attachMembers(report, reuseIfEqual(receiver.lastSentMembers, std::move(report.members)), receiver,
                now);
  return report;
}

/// \returns \p before if it is equal, as lists that were sent are compared by pointer.
FleetPeer::MemberList FleetView::reuseIfEqual(const FleetPeer::MemberList& before,
                                              std::vector<FleetMember> members) {
  if (before != nullptr && *before == members) return before;
  return std::make_shared<const std::vector<FleetMember>>(std::move(members));
}

/// \param members the same object that \p target was last sent if the list is unchanged.
void FleetView::attachMembers(FleetReport& report, FleetPeer::MemberList members, FleetPeer& target,
                              Instant now) const {
  const bool unchanged = target.lastSentMembers == members;
  report.membersUnchanged =
      unchanged && FleetPeer::isRecent(target.membersSentAt, now, kMembersInterval);
  report.members.clear();
  if (report.membersUnchanged) return;
  report.members = *members;
  target.lastSentMembers = std::move(members);
  target.membersSentAt = now;
}

/// Adds the other domains' relays that report to this one directly. Relays of two domains without
/// seeds discover each other through a third relay, and daemons of such a domain their own relay.
void FleetView::addRelays(FleetReport& report, const FleetMember& receiver, Instant now) const {
  for (const auto& [daemon, peer] : roster_.peers()) {
    const FailureDomainName& domain = peer.report.self.domain;
    if (domain == self().domain || daemon == receiver.daemon) continue;
    // Daemons that are only listed by others are skipped: otherwise two relays would keep
    // confirming to each other that a stopped daemon is alive.
    if (!FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout)) continue;
    if (roster_.relayOf(domain, now) == daemon) report.members.push_back(peer.report.self);
  }
}

void FleetView::addPeerTotals(FleetReport& report, const FleetPeer& source) const {
  addLoads(report.loads, source.report.loads);
  addEvidence(report.evidence, source.report.evidence);
  addWaiting(report.waiting, source.report.waiting);
  for (const UpstreamIncarnation& upstream : source.report.draining) {
    if (std::find(report.draining.begin(), report.draining.end(), upstream) ==
        report.draining.end()) {
      report.draining.push_back(upstream);
    }
  }
}

void FleetView::addDomainTotals(FleetReport& report, Instant now) const {
  report.scope = ReportScope::domain;
  report.members = {self()};
  addSpent(report.spent, spentByMembers_);
  addUsage(report.usage, usage_.ownDomain());
  for (const auto& [daemon, peer] : roster_.peers()) {
    if (peer.report.self.domain != self().domain) continue;
    if (peer.report.scope != ReportScope::member) continue;
    if (!FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout)) continue;
    report.members.push_back(peer.report.self);
    addPeerTotals(report, peer);
  }
}

/// Adds the sums of all daemons, including the receiver's part.
void FleetView::addFleetTotals(FleetReport& report, Instant now) const {
  report.scope = ReportScope::fleet;
  addSpent(report.spent, spentByMembers_);
  addSpent(report.spent, spentByDomains_);
  addUsage(report.usage, usage_.forwardable());
  for (const auto& [daemon, peer] : roster_.peers()) {
    if (peer.reportedAt != Instant{} && countsInSums(peer.report, now)) addPeerTotals(report, peer);
  }
}

/// Report to a member of the own domain: the sums of all daemons less the receiver's own part.
FleetReport FleetView::fleetReport(const Round& round, FleetPeer& receiver, Instant now) const {
  FleetReport report = round.fleet;
  const FleetReport& lastReport = receiver.report;
  subtract(report.spent, receiver.spentAsMember);
  subtract(report.usage, usage_.usageSince(lastReport.self));
  if (receiver.reportedAt != Instant{} && countsInSums(lastReport, now)) {
    subtract(report.loads, lastReport.loads);
    subtract(report.evidence, lastReport.evidence);
    subtract(report.waiting, lastReport.waiting);
  }
  if (round.standby == lastReport.self.daemon) report.incarnations = round.incarnations;
  // The successor learns only from this report what this daemon serves while shutting down.
  if (report.leaving) report.incarnations.push_back(ownUsage(round));
  attachMembers(report, round.members, receiver, now);
  return report;
}

LimitFleet FleetView::limitFleet(Instant now) const {
  LimitFleet fleet;
  fleet.clockOffset = clock_.offset();
  fleet.active = roster_.discoveryComplete(now);
  const std::uint64_t own = stableHash(self().daemon.str());
  fleet.members.push_back(own);
  for (const auto& [daemon, peer] : roster_.peers()) {
    const bool expected = FleetPeer::isRecent(peer.lastSeenAt, now, FleetPeer::kPeerRetention);
    if (expected && !peer.report.leaving) fleet.members.push_back(stableHash(daemon.str()));
  }
  // Daemons that must be running and aren't known by name keep their share.
  for (std::size_t i = fleet.members.size(); i < roster_.expectedCount(now); ++i) {
    fleet.members.push_back(stableHash("", i));
  }
  std::sort(fleet.members.begin(), fleet.members.end());
  const auto position = std::lower_bound(fleet.members.begin(), fleet.members.end(), own);
  fleet.self = static_cast<std::size_t>(position - fleet.members.begin());
  return fleet;
}

double FleetView::liveFraction(Instant now) const {
  if (!discoveryComplete(now)) return 0;
  const auto live = static_cast<double>(liveCount(now));
  return std::min(1.0, live / static_cast<double>(expectedCount(now)));
}

VersionEvidences FleetView::evidenceElsewhere(Instant now) const {
  VersionEvidences evidence;
  for (const auto& [daemon, peer] : roster_.peers()) {
    if (FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout) &&
        countsInSums(peer.report, now)) {
      addEvidence(evidence, peer.report.evidence);
    }
  }
  return evidence;
}

UpstreamLoads FleetView::loadsElsewhere(Instant now) const {
  UpstreamLoads loads;
  for (const auto& [daemon, peer] : roster_.peers()) {
    if (FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout) &&
        countsInSums(peer.report, now)) {
      addLoads(loads, peer.report.loads);
    }
  }
  return loads;
}

WaitingLoads FleetView::waitingElsewhere(Instant now) const {
  WaitingLoads waiting;
  for (const auto& [daemon, peer] : roster_.peers()) {
    if (FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout) &&
        countsInSums(peer.report, now)) {
      addWaiting(waiting, peer.report.waiting);
    }
  }
  return waiting;
}

Millis FleetView::loadsAge(Instant now) const {
  Instant oldest = now;
  for (const auto& [daemon, peer] : roster_.peers()) {
    if (FleetPeer::isRecent(peer.reportedAt, now, FleetPeer::kLivenessTimeout) &&
        countsInSums(peer.report, now)) {
      oldest = std::min(oldest, peer.reportedAt);
    }
  }
  return std::chrono::duration_cast<Millis>(now - oldest);
}

}  // namespace Hallchute
