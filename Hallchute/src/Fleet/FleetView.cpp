// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/FleetView.h"

#include <algorithm>
#include <utility>

#include "Hallchute/src/Fleet/ReportSums.h"

namespace Hallchute {
namespace {

/// Several report periods: one lost report doesn't make a daemon unheard.
constexpr Millis kHeardFor{1'000};
/// How long a silent daemon may still be running behind a cut and spending its part of quotas.
constexpr Millis kKnownFor{15'000};
/// How long an address is reported to after anything was last learned of its daemon.
constexpr Millis kTriedFor{60'000};
/// How old a choice of relays may be that no report has changed: it changes as daemons fall silent,
/// a twentieth of the time after which one counts as silent.
constexpr Millis kElectionAge{50};
/// How often unchanged members are told again, for receivers that missed them.
constexpr Millis kMembersEvery{2'000};
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

bool isStronger(const FleetMember* a, const FleetMember* b) {
  return a->capacity != b->capacity ? a->capacity > b->capacity : a->daemon < b->daemon;
}

}  // namespace

void FleetView::addAddresses(std::span<const std::string> addresses) {
  for (const std::string& address : addresses) {
    if (!address.empty() && address != self_.address) addresses_.insert(address);
  }
}

bool FleetView::alive(const Known& known, Instant now) const {
  if (known.report.leaving) return false;
  return within(known.reported, now, kHeardFor) || within(known.told, now, kHeardFor);
}

const FleetView::Election& FleetView::election(Instant now) const {
  if (election_ && now >= election_->at && now - election_->at < kElectionAge) return *election_;
  Election found;
  found.at = now;
  std::map<DomainName, const FleetMember*> strongest{{self_.domain, &self_}};
  std::size_t seen = 1;
  for (const auto& [daemon, known] : daemons_) {
    if (within(known.seen, now, kKnownFor)) ++seen;
    if (!alive(known, now)) continue;
    const FleetMember& member = known.report.self;
    const FleetMember*& best = strongest[member.domain];
    if (best == nullptr || isStronger(&member, best)) best = &member;
  }
  found.small = seen <= kSmallFleet;
  for (const auto& [domain, member] : strongest) found.relays[domain] = member->daemon;
  election_ = std::move(found);
  return *election_;
}

bool FleetView::isSmall(Instant now) const {
  return election(now).small;
}

std::vector<DaemonId> FleetView::strongestOf(const DomainName& domain, std::size_t most,
                                             Instant now) const {
  std::vector<const FleetMember*> members;
  if (self_.domain == domain) members.push_back(&self_);
  for (const auto& [daemon, known] : daemons_) {
    const FleetMember& member = known.report.self;
    if (member.domain == domain && alive(known, now)) members.push_back(&member);
  }
  const std::size_t count = std::min(most, members.size());
  const auto end = members.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(members.begin(), end, members.end(), isStronger);
  std::vector<DaemonId> strongest;
  for (std::size_t i = 0; i < count; ++i) strongest.push_back(members[i]->daemon);
  return strongest;
}

DaemonId FleetView::relayOf(const DomainName& domain, Instant now) const {
  const Election& found = election(now);
  const auto it = found.relays.find(domain);
  return it == found.relays.end() ? DaemonId() : it->second;
}

bool FleetView::followsStore(Instant now) const {
  if (isSmall(now)) return true;
  const std::vector<DaemonId> followers = strongestOf(self_.domain, kFollowersOfDomain, now);
  return std::find(followers.begin(), followers.end(), self_.daemon) != followers.end();
}

Millis FleetView::newsLag(Instant now) const {
  return isSmall(now) ? kDirectLag : kRelayedLag;
}

bool FleetView::isRelay(Instant now) const {
  return relayOf(self_.domain, now) == self_.daemon;
}

bool FleetView::counts(const FleetReport& report, Instant now) const {
  const bool ownDomain = report.self.domain == self_.domain;
  switch (report.scope) {
    case ReportScope::everybody:
      return isSmall(now);
    case ReportScope::member:
      return ownDomain && isRelay(now);
    case ReportScope::domain:
      return !ownDomain && isRelay(now) && relayOf(report.self.domain, now) == report.self.daemon;
    case ReportScope::fleet:
      return ownDomain && relayOf(self_.domain, now) == report.self.daemon;
  }
  return false;
}

/// Whether hearsay of a daemon is of another process than the one that is known.
bool FleetView::isAnother(const Known& known, const FleetMember& member, bool vouched,
                          Instant now) const {
  const std::uint64_t present = known.report.self.incarnation;
  if (member.incarnation == present || within(known.reported, now, kHeardFor)) return false;
  return member.incarnation > present || (vouched && !alive(known, now));
}

void FleetView::learnMembers(ReportScope scope, std::span<const FleetMember> members, Instant now) {
  const bool vouched = scope == ReportScope::domain || scope == ReportScope::fleet;
  for (const FleetMember& member : members) {
    if (member.daemon == self_.daemon) continue;
    Known& known = daemons_[member.daemon];
    if (isAnother(known, member, vouched, now)) {
      known.report = FleetReport{};
      known.report.self = member;
      known.reported = Instant{};
      election_.reset();
    }
    if (vouched && !alive(known, now)) election_.reset();
    if (vouched || known.seen == Instant{}) known.seen = now;
    if (vouched && member.incarnation == known.report.self.incarnation) known.told = now;
  }
}

FleetNews FleetView::receive(const FleetReport& report, Instant now) {
  FleetNews news;
  if (report.self.daemon == self_.daemon) return news;
  Known& known = daemons_[report.self.daemon];
  FleetReport& last = known.report;
  // A late word of the process before; a lower one that stays is a start after the host's clock was
  // set back.
  const bool earlier = report.self.incarnation < last.self.incarnation;
  if (earlier && within(known.reported, now, kHeardFor)) return news;
  const bool heardBefore = known.reported != Instant{};
  const bool sameLife = report.self.incarnation == last.self.incarnation;
  news.newIncarnation = !heardBefore || !sameLife;
  // What a daemon spent before it was first heard of, or summed over another scope, was not spent
  // just now; what one spent out of reach came out of the part that was left to it; what one spent
  // since its restart counts.
  const bool unbroken = within(known.reported, now, kHeardFor);
  const bool comparable = unbroken && sameLife && report.scope == last.scope;
  const bool fresh = heardBefore && !sameLife;
  if ((comparable || fresh) && counts(report, now)) {
    for (const auto& [organisation, spent] : report.spent) {
      const auto before = last.spent.find(organisation);
      const bool from = comparable && before != last.spent.end();
      const double more = spent - (from ? before->second : 0);
      if (more > 0) news.spentMore[organisation] = more;
    }
    countSpent(known, report.scope, news.spentMore);
  }
  for (const UpstreamIncarnation& upstream : report.draining) {
    const auto& seen = last.draining;
    if (std::find(seen.begin(), seen.end(), upstream) == seen.end()) {
      news.draining.push_back(upstream);
    }
  }
  std::vector<FleetMember> members = report.members;
  if (report.membersUnchanged) members = std::move(last.members);
  // Its word may make or end a relay.
  if (news.newIncarnation || report.leaving || !alive(known, now) || last.self != report.self) {
    election_.reset();
  }
  known.report = report;
  known.reported = now;
  known.seen = now;
  learnMembers(report.scope, members, now);
  known.report.members = std::move(members);
  learnUsage(report);
  return news;
}

void FleetView::countSpent(Known& sender, ReportScope scope, const SpentQuota& more) {
  if (scope == ReportScope::domain) addSpent(spentByDomains_, more);
  if (scope != ReportScope::member) return;
  addSpent(spentByMembers_, more);
  addSpent(sender.spentAsMember, more);
}

void FleetView::learnUsage(const FleetReport& report) {
  switch (report.scope) {
    case ReportScope::everybody:
    case ReportScope::member:
      usage_.noteOwnWord(report.self, report.usage);
      break;
    case ReportScope::domain:
      usage_.noteDomainSums(report.self.domain, report.usage);
      break;
    case ReportScope::fleet:
      usage_.noteFleetSums(report.usage);
      break;
  }
  for (const IncarnationUsage& word : report.incarnations) usage_.noteHearsay(word);
}

bool FleetView::speaksForItself(const DaemonId& daemon, std::uint64_t incarnation,
                                Instant now) const {
  const auto it = daemons_.find(daemon);
  if (it == daemons_.end() || !alive(it->second, now)) return false;
  return it->second.report.self.incarnation == incarnation;
}

/// Incarnations that can't tell their usage any more, and those whose word ends with this relay.
std::vector<IncarnationUsage> FleetView::incarnationsToTell(const Round& round, Instant now) const {
  const auto chosen = [&](const DaemonId& daemon, std::uint64_t incarnation,
                          const DomainName& domain) {
    if (round.relay && domain == self_.domain) return true;
    return !speaksForItself(daemon, incarnation, now);
  };
  std::vector<IncarnationUsage> told = usage_.incarnations(chosen);
  if (round.relay) told.push_back(ownUsage(round));
  return told;
}

IncarnationUsage FleetView::ownUsage(const Round& round) const {
  return {self_.daemon, self_.incarnation, self_.domain, round.own.usage};
}

DaemonId FleetView::deputy(Instant now) const {
  const std::vector<DaemonId> strongest = strongestOf(self_.domain, kFollowersOfDomain, now);
  return strongest.size() == kFollowersOfDomain ? strongest.back() : DaemonId();
}

std::set<std::string> FleetView::targets(Instant now) const {
  const bool small = isSmall(now);
  const bool relay = !small && isRelay(now);
  const bool tellsWards = tellsDomain(now);
  const DaemonId ownRelay = relayOf(self_.domain, now);
  std::set<std::string> wanted;
  std::size_t heardDirectly = 0;
  for (const auto& [daemon, known] : daemons_) {
    const bool direct = within(known.reported, now, kHeardFor);
    if (direct) ++heardDirectly;
    // One that reports to everybody doesn't know yet that there are relays.
    const bool newcomer = known.report.scope == ReportScope::everybody;
    const bool ward = tellsWards && known.report.self.domain == self_.domain;
    bool chosen = (direct && (newcomer || ward || misled(known, now))) || daemon == ownRelay;
    if (small) chosen = within(known.seen, now, kTriedFor);
    if (relay && relayOf(known.report.self.domain, now) == daemon) chosen = true;
    if (chosen) wanted.insert(known.report.self.address);
  }
  if (relay) addLostDomains(wanted, now);
  // A daemon that hears nobody, and a relay, keep in touch with where newcomers turn to.
  if (small || relay || heardDirectly == 0) {
    wanted.insert(addresses_.begin(), addresses_.end());
  }
  if (small) {
    for (const auto& [daemon, known] : daemons_) {
      if (!within(known.seen, now, kTriedFor)) wanted.erase(known.report.self.address);
    }
  }
  wanted.erase(self_.address);
  return wanted;
}

/// Takes itself for a relay and isn't: after the right one stood still for a second the two may
/// not know of each other, and each carries a part of the domain that nobody adds up. Whoever hears
/// such a one tells it of the right one. Without it 49 of 59 loads were heard for good after a
/// stall (virtual time, 60 daemons).
bool FleetView::misled(const Known& known, Instant now) const {
  const FleetMember& member = known.report.self;
  return known.report.scope == ReportScope::domain && !known.report.leaving &&
         relayOf(member.domain, now) != member.daemon;
}

/// A relay turns to daemons it once knew of each domain that it doesn't hear, and of its own: after
/// a relay's end each of its daemons takes itself for the next one until it hears a stronger one.
void FleetView::addLostDomains(std::set<std::string>& wanted, Instant now) const {
  std::map<DomainName, std::vector<const FleetMember*>> lost;
  for (const auto& [daemon, known] : daemons_) {
    const FleetMember& member = known.report.self;
    if (!within(known.seen, now, kTriedFor) || alive(known, now)) continue;
    const bool own = member.domain == self_.domain;
    if (own || relayOf(member.domain, now).empty()) lost[member.domain].push_back(&member);
  }
  for (auto& [domain, members] : lost) {
    std::sort(members.begin(), members.end(), isStronger);
    const std::size_t strongest = std::min(members.size(), kTriedOfDomain);
    for (std::size_t i = 0; i < strongest; ++i) wanted.insert(members[i]->address);
    // All of them may be down: the others are tried by turns.
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / kTryTurn);
    wanted.insert(members[turn % members.size()]->address);
  }
}

std::vector<AddressedReport> FleetView::compose(const FleetReport& own, Instant now) {
  std::map<std::string, Known*> byAddress;
  for (auto& [daemon, known] : daemons_) byAddress[known.report.self.address] = &known;
  const Round round = beginRound(own, now);
  std::vector<AddressedReport> reports;
  for (const std::string& address : targets(now)) {
    const auto it = byAddress.find(address);
    Known* const target = it == byAddress.end() ? nullptr : it->second;
    reports.push_back({address, reportFor(round, target, now)});
  }
  return reports;
}

bool FleetView::tellsDomain(Instant now) const {
  return !isSmall(now) && (isRelay(now) || within(relayedAt_, now, kHandOver));
}

FleetView::Round FleetView::beginRound(const FleetReport& own, Instant now) {
  Round round;
  round.small = isSmall(now);
  round.relay = !round.small && isRelay(now);
  if (round.relay) relayedAt_ = now;
  round.tellsDomain = tellsDomain(now);
  round.own = own;
  round.own.self = self_;
  if (!round.small) round.own.scope = ReportScope::member;
  membersTold_ = sameOrNew(membersTold_, membersToTell(round, now));
  round.members = membersTold_;
  if (now - usageTold_ >= kUsageEvery) {
    usageTold_ = now;
    round.deputy = deputy(now);
    round.incarnations = incarnationsToTell(round, now);
  }
  if (round.relay) {
    round.domain = round.own;
    addDomain(round.domain, now);
    round.domain.incarnations = round.incarnations;
  }
  if (round.tellsDomain) {
    round.fleet = round.own;
    addFleet(round.fleet, now);
  }
  return round;
}

/// Whom a report names to a receiver that it has most in common with: small fleets name all, a
/// relay the daemons that are heard, any other daemon the relays.
std::vector<FleetMember> FleetView::membersToTell(const Round& round, Instant now) const {
  std::vector<FleetMember> members;
  if (!round.small) members.push_back(self_);
  for (const auto& [daemon, known] : daemons_) {
    const FleetMember& member = known.report.self;
    // Whoever asks a daemon that is no relay learns whom to turn to.
    const bool named = round.small         ? within(known.seen, now, kKnownFor)
                       : round.tellsDomain ? alive(known, now)
                                           : relayOf(member.domain, now) == daemon;
    if (named) members.push_back(member);
  }
  return members;
}

/// \param target null if nobody is known at the address.
FleetReport FleetView::reportFor(const Round& round, Known* target, Instant now) const {
  if (target == nullptr) return reportToStranger(round);
  const FleetMember& receiver = target->report.self;
  if (receiver.domain != self_.domain) {
    return round.relay ? domainReport(round, *target, now) : ownReport(round, *target, now);
  }
  // The relay that took this one's place is told as by any other daemon.
  const bool toRelay = !round.relay && relayOf(self_.domain, now) == receiver.daemon;
  const bool tellsAll = round.tellsDomain && !toRelay;
  return tellsAll ? fleetReport(round, *target, now) : ownReport(round, *target, now);
}

FleetReport FleetView::reportToStranger(const Round& round) {
  if (round.relay) return round.domain;
  FleetReport report = round.own;
  report.members = *round.members;
  return report;
}

FleetReport FleetView::ownReport(const Round& round, Known& receiver, Instant now) const {
  FleetReport report = round.own;
  if (round.small || round.deputy == self_.daemon) report.incarnations = round.incarnations;
  tellMembers(report, round.members, receiver, now);
  return report;
}

/// What another domain is told: the own domain's sums, and who the receiver's relay is.
FleetReport FleetView::domainReport(const Round& round, Known& receiver, Instant now) const {
  FleetReport report = round.domain;
  addRelayOf(report, receiver.report.self, now);
  tellMembers(report, sameOrNew(receiver.sentMembers, std::move(report.members)), receiver, now);
  return report;
}

/// \returns \p before if it holds the same: who was sent a list is known by the list itself.
FleetView::MemberList FleetView::sameOrNew(const MemberList& before,
                                           std::vector<FleetMember> members) {
  if (before != nullptr && *before == members) return before;
  return std::make_shared<const std::vector<FleetMember>>(std::move(members));
}

/// \param members the very list that \p target was last sent, if it holds the same.
void FleetView::tellMembers(FleetReport& report, MemberList members, Known& target,
                            Instant now) const {
  const bool unchanged = target.sentMembers == members;
  report.membersUnchanged = unchanged && within(target.membersSent, now, kMembersEvery);
  report.members.clear();
  if (report.membersUnchanged) return;
  report.members = *members;
  target.sentMembers = std::move(members);
  target.membersSent = now;
}

/// A daemon of a domain without seeds meets its own relay by those of other domains.
void FleetView::addRelayOf(FleetReport& report, const FleetMember& receiver, Instant now) const {
  const auto it = daemons_.find(relayOf(receiver.domain, now));
  // What was only told of is not vouched for: two relays would keep a daemon alive that ended.
  if (it == daemons_.end() || !within(it->second.reported, now, kHeardFor)) return;
  if (it->first != receiver.daemon) report.members.push_back(it->second.report.self);
}

void FleetView::addSums(FleetReport& report, const Known& source) const {
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
  report.members = {self_};
  addSpent(report.spent, spentByMembers_);
  addUsage(report.usage, usage_.ownDomain());
  for (const auto& [daemon, known] : daemons_) {
    if (known.report.self.domain != self_.domain) continue;
    if (known.report.scope != ReportScope::member) continue;
    if (!within(known.reported, now, kHeardFor)) continue;
    report.members.push_back(known.report.self);
    addSums(report, known);
  }
}

/// The sums of all, the receiver among them.
void FleetView::addFleet(FleetReport& report, Instant now) const {
  report.scope = ReportScope::fleet;
  addSpent(report.spent, spentByMembers_);
  addSpent(report.spent, spentByDomains_);
  addUsage(report.usage, usage_.tellable());
  for (const auto& [daemon, known] : daemons_) {
    if (known.reported != Instant{} && counts(known.report, now)) addSums(report, known);
  }
}

/// What a member of the own domain is told: all sums but its own part.
FleetReport FleetView::fleetReport(const Round& round, Known& receiver, Instant now) const {
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

std::size_t FleetView::heard(Instant now) const {
  return 1 + static_cast<std::size_t>(
                 std::count_if(daemons_.begin(), daemons_.end(),
                               [&](const auto& entry) { return alive(entry.second, now); }));
}

std::size_t FleetView::known(Instant now) const {
  std::size_t count = 1;
  std::set<std::string> unmet = addresses_;
  for (const auto& [daemon, known] : daemons_) {
    unmet.erase(known.report.self.address);
    if (!known.report.leaving && within(known.seen, now, kKnownFor)) ++count;
  }
  // Right after a start the others are there and not yet heard.
  const bool starting = heard(now) == 1;
  if (starting) count += unmet.size();
  return now - started_ < kKnownFor ? std::max(count, earlierSize_) : count;
}

bool FleetView::hasMet(Instant now) const {
  if (now - started_ >= kMeetTime) return true;
  // One that ran before this daemon's start knows the fleet and tells it at once.
  return std::any_of(daemons_.begin(), daemons_.end(), [&](const auto& entry) {
    const FleetReport& report = entry.second.report;
    return within(entry.second.reported, now, kHeardFor) &&
           report.self.incarnation + kSettledLife <= self_.incarnation;
  });
}

QuotaFleet FleetView::quotaFleet(Instant now) const {
  QuotaFleet fleet;
  fleet.heard = heard(now);
  fleet.newsLag = newsLag(now);
  const auto all = static_cast<double>(std::max<std::size_t>(1, known(now)));
  fleet.meeting = !hasMet(now);
  if (fleet.meeting) {
    fleet.meetingLeft = std::chrono::duration_cast<Millis>(started_ + kMeetTime - now);
  }
  if (!fleet.meeting || earlierSize_ > 0) fleet.ownPart = 1 / all;
  fleet.heardPart = fleet.meeting ? fleet.ownPart.value_or(kUnmetPart)
                                  : std::min(1.0, static_cast<double>(fleet.heard) / all);
  return fleet;
}

UpstreamLoads FleetView::loadsElsewhere(Instant now) const {
  UpstreamLoads loads;
  for (const auto& [daemon, known] : daemons_) {
    if (within(known.reported, now, kHeardFor) && counts(known.report, now)) {
      addLoads(loads, known.report.loads);
    }
  }
  return loads;
}

std::uint64_t FleetView::heardIncarnation(const DaemonId& daemon, Instant now) const {
  const auto it = daemons_.find(daemon);
  if (it == daemons_.end() || !alive(it->second, now)) return 0;
  return it->second.report.self.incarnation;
}

std::map<DaemonId, std::uint64_t> FleetView::heardOthers(Instant now) const {
  std::map<DaemonId, std::uint64_t> heard;
  for (const auto& [daemon, known] : daemons_) {
    if (alive(known, now)) heard[daemon] = known.report.self.incarnation;
  }
  return heard;
}

std::vector<const FleetReport*> FleetView::reports(Instant now) const {
  std::vector<const FleetReport*> reports;
  for (const auto& [daemon, known] : daemons_) {
    if (within(known.reported, now, kHeardFor)) reports.push_back(&known.report);
  }
  return reports;
}

}  // namespace Hallchute
