// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/FleetView.h"

#include <algorithm>
#include <utility>

#include "Hallchute/src/Fleet/ReportSums.h"

namespace Hallchute {
namespace {

/// How often unchanged members are told again, for receivers that missed them.
constexpr Millis kMembersEvery{2'000};
/// After its start a daemon takes the others' clock at once: its host's may be wrong from the
/// beginning. Several report periods more than it takes to hear them.
constexpr Millis kComparing{3'000};
/// How often usage is told by incarnation, which is many times the length of the sums that every
/// report holds: well within the 2.5 s from a window's end until its counts are taken.
constexpr Millis kUsageEvery{1'000};
/// How long a relay that a stronger daemon took over from still tells its domain of all others,
/// that daemon among them: three report periods. Without it they hear nobody until the old one
/// counts as silent, and take themselves for relays.
constexpr Millis kHandOver{600};
/// Daemons of an unheard domain that a relay tries at a time: the strongest may be down.
constexpr std::size_t kTriedOfDomain = 3;
/// How long each further one is tried: a few report periods.
constexpr Millis kTryTurn{600};
/// How long an address is reported to after anything was last learned of its daemon.
constexpr Millis kTriedFor{60'000};

}  // namespace

bool FleetView::counts(const FleetReport& report, Instant now) const {
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
  // A late word of the process before; a lower one that stays is a start after the host's clock was
  // set back.
  const bool earlier = report.self.incarnation < last.self.incarnation;
  if (earlier && FleetPeer::within(peer.reported, now, FleetPeer::kHeardFor)) return update;
  const bool heardBefore = peer.reported != Instant{};
  const bool sameLife = report.self.incarnation == last.self.incarnation;
  update.newIncarnation = !heardBefore || !sameLife;
  // What a daemon spent before it was first heard of, or summed over another scope, was not spent
  // just now; what one spent out of reach came out of the part that was left to it; what one spent
  // since its restart counts.
  const bool unbroken = FleetPeer::within(peer.reported, now, FleetPeer::kHeardFor);
  const bool comparable = unbroken && sameLife && report.scope == last.scope;
  const bool fresh = heardBefore && !sameLife;
  if ((comparable || fresh) && counts(report, now)) {
    for (const auto& [organisation, spent] : report.spent) {
      const auto before = last.spent.find(organisation);
      const bool from = comparable && before != last.spent.end();
      const double more = spent - (from ? before->second : 0);
      if (more > 0) update.newlySpent[organisation] = more;
    }
    countSpent(peer, report.scope, update.newlySpent);
  }
  for (const UpstreamIncarnation& upstream : report.draining) {
    const auto& seen = last.draining;
    if (std::find(seen.begin(), seen.end(), upstream) == seen.end()) {
      update.draining.push_back(upstream);
    }
  }
  std::vector<FleetMember> members = report.members;
  if (report.membersUnchanged) members = std::move(last.members);
  // Its word may make or end a relay.
  if (update.newIncarnation || report.leaving || !peer.alive(now) || last.self != report.self) {
    roster_.forgetElection();
  }
  peer.report = report;
  peer.reported = now;
  peer.seen = now;
  peer.clockOffset = report.wallClock - std::chrono::duration_cast<Millis>(now.time_since_epoch());
  roster_.noteMembers(report.scope, members, now);
  peer.report.members = std::move(members);
  learnUsage(report);
  return update;
}

void FleetView::countSpent(FleetPeer& sender, ReportScope scope, const SpentQuota& more) {
  if (scope == ReportScope::domain) addSpent(spentByDomains_, more);
  if (scope != ReportScope::member) return;
  addSpent(spentByMembers_, more);
  addSpent(sender.spentAsMember, more);
}

void FleetView::learnUsage(const FleetReport& report) {
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
  for (const IncarnationUsage& word : report.incarnations) usage_.noteIncarnation(word);
}

/// Incarnations that can't tell their usage any more, and those whose word ends with this relay.
std::vector<IncarnationUsage> FleetView::incarnationsToTell(const Round& round, Instant now) const {
  const auto chosen = [&](const DaemonId& daemon, std::uint64_t incarnation,
                          const DomainName& domain) {
    if (round.relay && domain == self().domain) return true;
    return !roster_.speaksForItself(daemon, incarnation, now);
  };
  std::vector<IncarnationUsage> told = usage_.incarnations(chosen);
  if (round.relay) told.push_back(ownUsage(round));
  return told;
}

IncarnationUsage FleetView::ownUsage(const Round& round) const {
  return {self().daemon, self().incarnation, self().domain, round.own.usage};
}

std::set<std::string> FleetView::targets(Instant now) const {
  const bool small = roster_.isSmall(now);
  const bool relay = !small && roster_.isRelay(now);
  const bool tellsWards = tellsDomain(now);
  const DaemonId ownRelay = roster_.relayOf(self().domain, now);
  std::set<std::string> wanted;
  std::size_t heardDirectly = 0;
  for (const auto& [daemon, peer] : roster_.peers()) {
    const bool direct = FleetPeer::within(peer.reported, now, FleetPeer::kHeardFor);
    if (direct) ++heardDirectly;
    // One that reports to everybody doesn't know yet that there are relays.
    const bool newcomer = peer.report.scope == ReportScope::broadcast;
    const bool ward = tellsWards && peer.report.self.domain == self().domain;
    bool chosen = (direct && (newcomer || ward || misled(peer, now))) || daemon == ownRelay;
    if (small) chosen = FleetPeer::within(peer.seen, now, kTriedFor);
    if (relay && roster_.relayOf(peer.report.self.domain, now) == daemon) chosen = true;
    if (chosen) wanted.insert(peer.report.self.address);
  }
  if (relay) addLostDomains(wanted, now);
  // A daemon that hears nobody, and a relay, keep in touch with where newcomers turn to.
  if (small || relay || heardDirectly == 0) {
    wanted.insert(roster_.addresses().begin(), roster_.addresses().end());
  }
  if (small) {
    for (const auto& [daemon, peer] : roster_.peers()) {
      if (!FleetPeer::within(peer.seen, now, kTriedFor)) wanted.erase(peer.report.self.address);
    }
  }
  wanted.erase(self().address);
  return wanted;
}

/// Takes itself for a relay and isn't: after the right one stood still for a second the two may
/// not know of each other, and each carries a part of the domain that nobody adds up. Whoever hears
/// such a one tells it of the right one. Without it 49 of 59 loads were heard for good after a
/// stall (virtual time, 60 daemons).
bool FleetView::misled(const FleetPeer& peer, Instant now) const {
  const FleetMember& member = peer.report.self;
  return peer.report.scope == ReportScope::domain && !peer.report.leaving &&
         roster_.relayOf(member.domain, now) != member.daemon;
}

/// A relay turns to daemons it once knew of each domain that it doesn't hear, and of its own: after
/// a relay's end each of its daemons takes itself for the next one until it hears a stronger one.
void FleetView::addLostDomains(std::set<std::string>& wanted, Instant now) const {
  std::map<DomainName, std::vector<const FleetMember*>> lost;
  for (const auto& [daemon, peer] : roster_.peers()) {
    const FleetMember& member = peer.report.self;
    if (!FleetPeer::within(peer.seen, now, kTriedFor) || peer.alive(now)) continue;
    const bool own = member.domain == self().domain;
    if (own || roster_.relayOf(member.domain, now).empty()) lost[member.domain].push_back(&member);
  }
  for (auto& [domain, members] : lost) {
    std::sort(members.begin(), members.end(), FleetRoster::isStronger);
    const std::size_t strongest = std::min(members.size(), kTriedOfDomain);
    for (std::size_t i = 0; i < strongest; ++i) wanted.insert(members[i]->address);
    // All of them may be down: the others are tried by turns.
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / kTryTurn);
    wanted.insert(members[turn % members.size()]->address);
  }
}

void FleetView::noteWallClock(Millis wallClock, Instant now) {
  const Millis monotonic = std::chrono::duration_cast<Millis>(now.time_since_epoch());
  std::vector<Millis> offsets{wallClock - monotonic};
  for (const auto& [daemon, peer] : roster_.peers()) {
    const FleetReport& report = peer.report;
    const bool fresh = FleetPeer::within(peer.reported, now, FleetPeer::kHeardFor);
    if (!fresh || report.wallClock == Millis(0)) continue;
    // A relay speaks for all: its members hear nobody else to compare with.
    const std::size_t weight = report.scope == ReportScope::fleet ? 2 : 1;
    offsets.insert(offsets.end(), weight, peer.clockOffset);
  }
  clock_.adjust(std::move(offsets), now - roster_.started() < kComparing, now);
}

void FleetView::noteWhoIsHeard(Instant now) {
  const bool all = roster_.discoveryComplete(now) && roster_.heard(now) >= roster_.known(now);
  if (!all) hearsAllSince_.reset();
  if (all && !hearsAllSince_) hearsAllSince_ = now;
}

bool FleetView::usageComplete(Instant now) const {
  const Millis toTell = kUsageEvery + 2 * roster_.reportLag(now);
  return hearsAllSince_ && now - *hearsAllSince_ >= toTell;
}

std::vector<AddressedReport> FleetView::compose(const FleetReport& own, Instant now) {
  noteWhoIsHeard(now);
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

bool FleetView::tellsDomain(Instant now) const {
  return !roster_.isSmall(now) &&
         (roster_.isRelay(now) || FleetPeer::within(relayedAt_, now, kHandOver));
}

FleetView::Round FleetView::beginRound(const FleetReport& own, Instant now) {
  Round round;
  round.small = roster_.isSmall(now);
  round.relay = !round.small && roster_.isRelay(now);
  if (round.relay) relayedAt_ = now;
  round.tellsDomain = tellsDomain(now);
  round.own = own;
  round.own.self = self();
  if (!round.small) round.own.scope = ReportScope::member;
  membersTold_ = sameOrNew(membersTold_, membersToTell(round, now));
  round.members = membersTold_;
  if (now - usageTold_ >= kUsageEvery) {
    usageTold_ = now;
    round.deputy = roster_.deputy(now);
    round.incarnations = incarnationsToTell(round, now);
  }
  if (round.relay) {
    round.domain = round.own;
    round.domain.wallClock = clock_.at(now);
    addDomain(round.domain, now);
    round.domain.incarnations = round.incarnations;
  }
  if (round.tellsDomain) {
    round.fleet = round.own;
    round.fleet.wallClock = clock_.at(now);
    addFleet(round.fleet, now);
  }
  return round;
}

/// Whom a report names to a receiver that it has most in common with: small fleets name all, a
/// relay the daemons that are heard, any other daemon the relays.
std::vector<FleetMember> FleetView::membersToTell(const Round& round, Instant now) const {
  std::vector<FleetMember> members;
  if (!round.small) members.push_back(self());
  for (const auto& [daemon, peer] : roster_.peers()) {
    const FleetMember& member = peer.report.self;
    // Whoever asks a daemon that is no relay learns whom to turn to.
    const bool named = round.small         ? FleetPeer::within(peer.seen, now, FleetPeer::kKnownFor)
                       : round.tellsDomain ? peer.alive(now)
                                           : roster_.relayOf(member.domain, now) == daemon;
    if (named) members.push_back(member);
  }
  return members;
}

/// \param target null if nobody is known at the address.
FleetReport FleetView::reportFor(const Round& round, FleetPeer* target, Instant now) const {
  if (target == nullptr) return reportToStranger(round);
  const FleetMember& receiver = target->report.self;
  if (receiver.domain != self().domain) {
    return round.relay ? domainReport(round, *target, now) : ownReport(round, *target, now);
  }
  // The relay that took this one's place is told as by any other daemon.
  const bool toRelay = !round.relay && roster_.relayOf(self().domain, now) == receiver.daemon;
  const bool tellsAll = round.tellsDomain && !toRelay;
  return tellsAll ? fleetReport(round, *target, now) : ownReport(round, *target, now);
}

FleetReport FleetView::reportToStranger(const Round& round) {
  if (round.relay) return round.domain;
  FleetReport report = round.own;
  report.members = *round.members;
  return report;
}

FleetReport FleetView::ownReport(const Round& round, FleetPeer& receiver, Instant now) const {
  FleetReport report = round.own;
  if (round.small || round.deputy == self().daemon) report.incarnations = round.incarnations;
  tellMembers(report, round.members, receiver, now);
  return report;
}

/// What another domain is told: the own domain's sums, and who the other domains' relays are.
FleetReport FleetView::domainReport(const Round& round, FleetPeer& receiver, Instant now) const {
  FleetReport report = round.domain;
  addRelays(report, receiver.report.self, now);
  tellMembers(report, sameOrNew(receiver.sentMembers, std::move(report.members)), receiver, now);
  return report;
}

/// \returns \p before if it holds the same: who was sent a list is known by the list itself.
FleetPeer::MemberList FleetView::sameOrNew(const FleetPeer::MemberList& before,
                                           std::vector<FleetMember> members) {
  if (before != nullptr && *before == members) return before;
  return std::make_shared<const std::vector<FleetMember>>(std::move(members));
}

/// \param members the very list that \p target was last sent, if it holds the same.
void FleetView::tellMembers(FleetReport& report, FleetPeer::MemberList members, FleetPeer& target,
                            Instant now) const {
  const bool unchanged = target.sentMembers == members;
  report.membersUnchanged = unchanged && FleetPeer::within(target.membersSent, now, kMembersEvery);
  report.members.clear();
  if (report.membersUnchanged) return;
  report.members = *members;
  target.sentMembers = std::move(members);
  target.membersSent = now;
}

/// The relays of all domains that this one hears: those of two domains without seeds find each
/// other by a third one, and a daemon of such a domain its own relay.
void FleetView::addRelays(FleetReport& report, const FleetMember& receiver, Instant now) const {
  for (const auto& [daemon, peer] : roster_.peers()) {
    const DomainName& domain = peer.report.self.domain;
    if (domain == self().domain || daemon == receiver.daemon) continue;
    // One that is only named by others isn't vouched for: two relays would keep a daemon alive that
    // ended.
    if (!FleetPeer::within(peer.reported, now, FleetPeer::kHeardFor)) continue;
    if (roster_.relayOf(domain, now) == daemon) report.members.push_back(peer.report.self);
  }
}

void FleetView::addSums(FleetReport& report, const FleetPeer& source) const {
  addLoads(report.loads, source.report.loads);
  for (const UpstreamIncarnation& upstream : source.report.draining) {
    if (std::find(report.draining.begin(), report.draining.end(), upstream) ==
        report.draining.end()) {
      report.draining.push_back(upstream);
    }
  }
}

void FleetView::addDomain(FleetReport& report, Instant now) const {
  report.scope = ReportScope::domain;
  report.members = {self()};
  addSpent(report.spent, spentByMembers_);
  addUsage(report.usage, usage_.ownDomain());
  for (const auto& [daemon, peer] : roster_.peers()) {
    if (peer.report.self.domain != self().domain) continue;
    if (peer.report.scope != ReportScope::member) continue;
    if (!FleetPeer::within(peer.reported, now, FleetPeer::kHeardFor)) continue;
    report.members.push_back(peer.report.self);
    addSums(report, peer);
  }
}

/// The sums of all, the receiver among them.
void FleetView::addFleet(FleetReport& report, Instant now) const {
  report.scope = ReportScope::fleet;
  addSpent(report.spent, spentByMembers_);
  addSpent(report.spent, spentByDomains_);
  addUsage(report.usage, usage_.tellable());
  for (const auto& [daemon, peer] : roster_.peers()) {
    if (peer.reported != Instant{} && counts(peer.report, now)) addSums(report, peer);
  }
}

/// What a member of the own domain is told: all sums but its own part.
FleetReport FleetView::fleetReport(const Round& round, FleetPeer& receiver, Instant now) const {
  FleetReport report = round.fleet;
  const FleetReport& told = receiver.report;
  takeOff(report.spent, receiver.spentAsMember);
  takeOff(report.usage, usage_.since(told.self));
  if (receiver.reported != Instant{} && counts(told, now)) takeOff(report.loads, told.loads);
  if (round.deputy == told.self.daemon) report.incarnations = round.incarnations;
  // Its successor hears nothing else of what this daemon serves while it leaves.
  if (report.leaving) report.incarnations.push_back(ownUsage(round));
  tellMembers(report, round.members, receiver, now);
  return report;
}

UpstreamLoads FleetView::loadsElsewhere(Instant now) const {
  UpstreamLoads loads;
  for (const auto& [daemon, peer] : roster_.peers()) {
    if (FleetPeer::within(peer.reported, now, FleetPeer::kHeardFor) && counts(peer.report, now)) {
      addLoads(loads, peer.report.loads);
    }
  }
  return loads;
}

}  // namespace Hallchute
