// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/AdmissionQueue.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Gateway/AdmissionOutlook.h"
#include "Hallchute/src/Gateway/AdmissionPolicy.h"

namespace Hallchute {
namespace {

/// Part of the bounds that less urgent ranks together, and each organisation, may use: the rest is
/// kept for the others.
constexpr double kBoundFraction = 0.75;
/// Requests whose objectives end within the same step are equals, among which organisations take
/// turns.
constexpr Millis kObjectiveStep{200};
/// Period in which daemons report, see GatewayNode.
constexpr Millis kReportPeriod{200};
/// Part of what upstreams process until the next report that is released in addition to their room;
/// the rest is left to the most urgent, which take no share, and to late requests.
constexpr double kDrainFraction = 0.5;
/// Requests that are looked at in vain before the others wait for the next time. Their upstreams
/// differ, but each look costs a choice among all upstreams.
constexpr int kMaxDenied = 8;

std::int64_t objectiveStep(const AdmissionRequest& request) {
  const Instant end = request.receivedAt + request.objective;
  return std::chrono::duration_cast<Millis>(end.time_since_epoch()) / kObjectiveStep;
}

WaitingLoad loadOf(const AdmissionRequest& request) {
  return {1, request.promptTokens};
}

double costOf(const AdmissionRequest& request) {
  return request.promptTokens == 0 ? 1 : static_cast<double>(request.promptTokens);
}

/// What counts as work of a service: its prompt tokens, or requests if none are stated.
double workOf(const WaitingLoads& loads, const ServiceName& service, bool tokens) {
  const auto it = loads.find(service);
  if (it == loads.end()) return 0;
  return tokens ? static_cast<double>(it->second.promptTokens)
                : static_cast<double>(it->second.requests);
}

bool waits(const AdmissionDecision& decision) {
  return std::holds_alternative<AdmissionVerdicts::Wait>(decision.verdict);
}

bool dispatches(const AdmissionDecision& decision) {
  return std::holds_alternative<AdmissionVerdicts::Dispatch>(decision.verdict);
}

}  // namespace

std::size_t AdmissionQueue::waiting(const ServiceName& service) const {
  const auto it = loads_.find(service);
  return it == loads_.end() ? 0 : it->second.requests;
}

bool AdmissionQueue::exceedsBounds(const AdmissionRequest& request) const {
  const auto reserved = [](std::size_t bound) {
    return static_cast<std::size_t>(static_cast<double>(bound) * kBoundFraction);
  };
  const bool urgent = request.rank == 0;
  const std::size_t count = urgent ? limits_.maxWaiting : reserved(limits_.maxWaiting);
  const std::size_t bytes = urgent ? limits_.maxWaitingBytes : reserved(limits_.maxWaitingBytes);
  if (waiting_.size() >= count || bytes_ + request.bytes > bytes) return true;
  const auto own = byOrganisation_.find(request.organisation);
  return own != byOrganisation_.end() && own->second >= reserved(limits_.maxWaiting);
}

/// Whether requests that can be on time and aren't less urgent wait already.
bool AdmissionQueue::mustQueue(const AdmissionRequest& request, bool late) const {
  return std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& item) {
    const Entry& entry = item.second;
    if (entry.request.criteria.service != request.criteria.service) return false;
    return (late || !entry.late) && entry.request.rank <= request.rank;
  });
}

Millis AdmissionQueue::drainTime(const AdmissionRequest& request,
                                 const AdmissionOutlook& outlook) const {
  const ServiceName& service = request.criteria.service;
  const auto room = outlook.room(service, request.promptTokens > 0, Millis(0));
  if (!room || room->tokensPerMs <= 0) return Millis(0);
  const double work = workOf(loads_, service, true) + workOf(elsewhere_.loads, service, true);
  return Millis(static_cast<Millis::rep>(work / room->tokensPerMs));
}

bool AdmissionQueue::mayPass(const AdmissionRequest& request, const AdmissionDecision& decision,
                             const AdmissionOutlook& outlook) {
  if (std::get<AdmissionVerdicts::Dispatch>(decision.verdict).overdue) return true;
  // Without an estimate, or at a queue well below the threshold, there is nothing to share out.
  if (decision.queueDelay <= AdmissionPolicy::kShortQueue) return true;
  if (!decision.late && decision.queueDelay <= decision.threshold / 2) return true;
  if (mustQueue(request, decision.late)) return false;
  // The less urgent share out what is left near their threshold; the most urgent have all of it.
  return request.rank == 0 || takeRoom(request, decision.late, outlook);
}

AdmissionDecision AdmissionQueue::enter(const AdmissionRequest& request,
                                        const AdmissionOutlook& outlook, Instant now) {
  AdmissionDecision decision = AdmissionPolicy::decide(request, outlook.start(request), now);
  if (dispatches(decision) && !mayPass(request, decision, outlook)) {
    decision.verdict = AdmissionVerdicts::Wait{};
  }
  if (!waits(decision)) return decision;
  const Millis drain = drainTime(request, outlook);
  AdmissionPolicy::limitWait(decision, request, drain);
  if (!waits(decision)) return decision;
  if (exceedsBounds(request)) {
    decision.verdict = AdmissionPolicy::refusal(decision, request, "waitingFull", drain);
    return decision;
  }
  waiting_[request.session] = {request, now, decision.late};
  bytes_ += request.bytes;
  ++byOrganisation_[request.organisation];
  loads_[request.criteria.service] += loadOf(request);
  return decision;
}

void AdmissionQueue::remove(std::uint64_t session) {
  const auto it = waiting_.find(session);
  if (it == waiting_.end()) return;
  const AdmissionRequest& request = it->second.request;
  bytes_ -= request.bytes;
  const auto organisation = byOrganisation_.find(request.organisation);
  if (--organisation->second == 0) byOrganisation_.erase(organisation);
  const auto load = loads_.find(request.criteria.service);
  load->second -= loadOf(request);
  if (load->second.requests == 0) loads_.erase(load);
  waiting_.erase(it);
}

void AdmissionQueue::noteReports(FleetWaiting elsewhere) {
  elsewhere_ = std::move(elsewhere);
  ++reports_;
  room_.clear();
}

std::vector<std::uint64_t> AdmissionQueue::drain() {
  std::vector<std::uint64_t> sessions;
  for (const auto& [session, entry] : waiting_) sessions.push_back(session);
  for (const std::uint64_t session : sessions) remove(session);
  return sessions;
}

bool AdmissionQueue::before(const Turn& a, const Turn& b) {
  const auto rank = [](const Turn& turn) {
    const AdmissionRequest& request = turn.entry->request;
    return std::make_tuple(turn.entry->late, request.rank, objectiveStep(request),
                           turn.ofOrganisation, request.session);
  };
  return rank(a) < rank(b);
}

std::vector<AdmissionQueue::Turn> AdmissionQueue::ordered() const {
  std::vector<Turn> turns;
  turns.reserve(waiting_.size());
  for (const auto& [session, entry] : waiting_) {
    turns.push_back({&entry, byOrganisation_.at(entry.request.organisation)});
  }
  std::sort(turns.begin(), turns.end(), before);
  return turns;
}

double AdmissionQueue::ownShare(const ServiceName& service) const {
  const auto own = static_cast<double>(waiting(service));
  const double others = workOf(elsewhere_.loads, service, false);
  const double equalShare = 1 / static_cast<double>(std::max<std::size_t>(1, elsewhere_.daemons));
  return std::max(equalShare, own / std::max(1.0, own + others));
}

AdmissionQueue::Room AdmissionQueue::ownRoom(const AdmissionRequest& request,
                                             const AdmissionOutlook& outlook) const {
  const ServiceName& service = request.criteria.service;
  const double share = ownShare(service);
  // The same room shows again in each report until what the others released from it is known.
  const auto periods = static_cast<double>(elsewhere_.reportLag / kReportPeriod + 1);
  const auto upTo = [&](Millis target, double drainFraction) {
    const auto room = outlook.room(service, request.promptTokens > 0, target);
    if (!room) return std::numeric_limits<double>::infinity();
    const auto periodMs = static_cast<double>(kReportPeriod.count());
    const double drained = drainFraction * room->openTokensPerMs * periodMs;
    return share * (room->room / periods + drained);
  };
  return {upTo(AdmissionPolicy::rankThreshold(request), kDrainFraction),
          upTo(AdmissionPolicy::lateThreshold(request), 0)};
}

bool AdmissionQueue::takeRoom(const AdmissionRequest& request, bool late,
                              const AdmissionOutlook& outlook) {
  const ServiceName& service = request.criteria.service;
  auto it = room_.find(service);
  if (it == room_.end()) it = room_.emplace(service, ownRoom(request, outlook)).first;
  Room& room = it->second;
  const double cost = costOf(request);
  double& left = late ? room.forLate : room.forOnTime;
  // A part of a request is rounded by a hash, so that over all daemons about as much is released.
  const bool fits =
      left >= cost || hashFraction(request.criteria.requestId, reports_) < left / cost;
  if (!fits) {
    left = 0;
    return false;
  }
  room.forOnTime = std::max(0.0, room.forOnTime - cost);
  room.forLate = std::max(0.0, room.forLate - cost);
  return true;
}

AdmissionDecision AdmissionQueue::decideAgain(Entry& entry, const AdmissionOutlook& outlook,
                                              Instant now) {
  const AdmissionDecision decision =
      AdmissionPolicy::decide(entry.request, outlook.start(entry.request), now, entry.since);
  entry.late = decision.late;
  return decision;
}

std::optional<AdmissionRelease> AdmissionQueue::releaseOverdue(const AdmissionOutlook& outlook,
                                                               Instant now) {
  for (auto& [session, entry] : waiting_) {
    if (!AdmissionPolicy::overdue(entry.request, entry.since, now)) continue;
    const AdmissionDecision decision = decideAgain(entry, outlook, now);
    if (waits(decision)) continue;
    return AdmissionRelease{session, decision,
                            std::chrono::duration_cast<Millis>(now - entry.since)};
  }
  return std::nullopt;
}

std::vector<AdmissionRelease> AdmissionQueue::reconsider(const AdmissionOutlook& outlook,
                                                         Instant now) {
  std::vector<AdmissionRelease> releases;
  if (waiting_.empty()) return releases;
  if (auto overdue = releaseOverdue(outlook, now)) {
    releases.push_back(*overdue);
    remove(overdue->session);
    return releases;
  }
  std::map<ServiceName, int> denied;
  for (const Turn& turn : ordered()) {
    const std::uint64_t session = turn.entry->request.session;
    int& deniedHere = denied[turn.entry->request.criteria.service];
    if (deniedHere >= kMaxDenied) continue;
    Entry& entry = waiting_.at(session);
    const AdmissionDecision decision = decideAgain(entry, outlook, now);
    if (waits(decision) ||
        (dispatches(decision) && !takeRoom(entry.request, decision.late, outlook))) {
      ++deniedHere;
      continue;
    }
    releases.push_back({session, decision, std::chrono::duration_cast<Millis>(now - entry.since)});
    if (dispatches(decision)) break;
  }
  for (const AdmissionRelease& release : releases) remove(release.session);
  return releases;
}

}  // namespace Hallchute
