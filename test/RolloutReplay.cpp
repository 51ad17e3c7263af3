// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "RolloutReplay.h"

#include <algorithm>
#include <variant>

#include "Hallchute/Fleet"
#include "Hallchute/src/Core/Overloaded.h"

namespace Hallchute {
namespace {

const ServiceName kService("chat");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");
const SoftwareVersion kNext("v3");
const std::string kRoutes[] = {"stream", "plain"};
constexpr double kStreamPart = 0.7;
constexpr int kUpstreams = 12;
/// The order arrives once the daemons know each other.
constexpr int kOrderMs = 4'000;
constexpr int kNewUpstreamsMs = kOrderMs + 1'500;
constexpr int kEndMs = kOrderMs + RolloutReplay::kDurationMs + 2'000;
constexpr int kListingMs = 500;
constexpr int kDutyPollMs = 250;
constexpr int kStatusPollMs = 100;
/// A lease with its margin and some polls.
constexpr int kTakeoverMs = 4'600;
constexpr int kStreamMs = 1'200;
constexpr int kSlowFactor = 5;
constexpr std::uint64_t kBadAnswers = 50;

}  // namespace

RolloutReplay::RolloutReplay(int daemons, ReplayedFault fault, ReplayedEvents events)
    : daemons_(daemons),
      fault_(fault),
      events_(events),
      fleet_(daemons, {}),
      loads_(static_cast<std::size_t>(daemons)),
      inFlight_(2 * std::size_t{kUpstreams}, 0) {
  for (int i = 0; i < daemons; ++i) {
    fleet_.start(i, 0);
    shares_.push_back(std::make_unique<VersionShares>(true));
  }
  for (int i = 0; i < 2 * kUpstreams; ++i) {
    UpstreamRecord record;
    record.id = UpstreamId("u" + std::to_string(i));
    record.service = kService;
    record.version = versionOf(i);
    records_.push_back(record);
  }
}

SoftwareVersion RolloutReplay::versionOf(int upstream) const {
  return upstream < kUpstreams ? kOld : kNew;
}

double RolloutReplay::random() {
  seed_ = seed_ * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
  return static_cast<double>(seed_ >> 11U) / static_cast<double>(1ULL << 53U);
}

bool RolloutReplay::storeUp(int ms) const {
  const int since = ms - kOrderMs;
  return since < events_.storeDownFrom || since >= events_.storeDownTo;
}

void RolloutReplay::list(int ms) {
  const std::size_t count = ms >= kNewUpstreamsMs ? records_.size() : kUpstreams;
  for (const auto& shares : shares_)
    shares->noteListed(std::span(records_).first(count), SimulatedFleet::at(ms));
}

int RolloutReplay::pick(const VersionExclusion& exclusion, std::uint64_t draw, int ms) const {
  std::vector<int> allowed;
  for (int i = 0; i < (ms >= kNewUpstreamsMs ? 2 * kUpstreams : kUpstreams); ++i) {
    const UpstreamRecord& record = records_[static_cast<std::size_t>(i)];
    const bool excluded =
        exclusion.versions.contains(record.version) || exclusion.upstreams.contains(record.id);
    if (!excluded) allowed.push_back(i);
  }
  return allowed.empty() ? -1 : allowed[draw % allowed.size()];
}

void RolloutReplay::send(int ms) {
  const auto daemon = static_cast<std::size_t>(random() * daemons_);
  const int route = random() < kStreamPart ? 0 : 1;
  const std::string id = "r" + std::to_string(nextRequest_++);
  const VersionChoice choice = shares_[daemon]->choose({kService, id}, SimulatedFleet::at(ms));
  const int upstream = pick(choice.exclusion, nextRequest_, ms);
  const int since = ms - kOrderMs;
  if (since >= 0 && since < kDurationMs) ++requests_;
  if (upstream < 0) {
    ++refused_;
    return;
  }
  dispatch(static_cast<int>(daemon), upstream, route, ms);
}

void RolloutReplay::dispatch(int daemon, int upstream, int route, int ms) {
  const int since = ms - kOrderMs;
  const bool target = versionOf(upstream) == kNew;
  int& load = inFlight_[static_cast<std::size_t>(upstream)];
  const bool shows = target && since >= fault_.fromMs && load >= fault_.fromLoad &&
                     (!fault_.route || fault_.route == route) && random() < fault_.part;
  Flight flight;
  flight.daemon = daemon;
  flight.upstream = upstream;
  flight.route = route;
  flight.failed = shows && !fault_.slow;
  flight.firstEventMs = 60 + static_cast<int>(random() * 80);
  if (shows && fault_.slow) flight.firstEventMs *= kSlowFactor;
  flight.endMs = ms + flight.firstEventMs + (route == 0 && !flight.failed ? kStreamMs : 0);
  flight.firstMs = ms + flight.firstEventMs;
  ++load;
  ++loads_[static_cast<std::size_t>(daemon)][records_[static_cast<std::size_t>(upstream)].id]
        .requests;
  if (target && since < kDurationMs) {
    ++exposed_;
    lastSentMs_ = since;
  }
  if (shows && ++bad_ == kBadAnswers) fiftiethBadMs_ = flight.firstMs - kOrderMs;
  flights_.push(flight);
}

void RolloutReplay::complete(int ms) {
  while (!flights_.empty() && flights_.top().endMs <= ms) {
    const Flight flight = flights_.top();
    flights_.pop();
    --inFlight_[static_cast<std::size_t>(flight.upstream)];
    const auto daemon = static_cast<std::size_t>(flight.daemon);
    --loads_[daemon][records_[static_cast<std::size_t>(flight.upstream)].id].requests;
    const SoftwareVersion version = versionOf(flight.upstream);
    std::optional<Millis> first;
    if (!flight.failed) first = Millis(flight.firstEventMs);
    shares_[daemon]->noteOutcome(
        {kService, version, kRoutes[flight.route], first, true, flight.failed});
  }
}

RolloutFacts RolloutReplay::factsOf(int daemon, int ms) {
  FleetView& view = fleet_.view(daemon);
  const Instant now = SimulatedFleet::at(ms);
  RolloutFacts facts;
  facts.wallClock = Millis(ms);
  facts.reportLag = view.reportLag(now);
  facts.evidence = view.evidenceElsewhere(now);
  addEvidence(facts.evidence, shares_[static_cast<std::size_t>(daemon)]->evidence());
  UpstreamLoads loads = view.loadsElsewhere(now);
  for (const auto& [id, load] : loads_[static_cast<std::size_t>(daemon)]) loads[id] += load;
  for (const UpstreamRecord& record : records_) {
    if (record.version == kNew && ms < kNewUpstreamsMs + kListingMs) continue;
    VersionFleet& version = facts.versions[record.version];
    ++version.upstreams;
    version.inFlight += loads[record.id].requests;
  }
  return facts;
}

void RolloutReplay::hold(int daemon, RolloutPlan& plan, std::uint64_t epoch, FleetReport& report,
                         int ms) {
  VersionShares& shares = *shares_[static_cast<std::size_t>(daemon)];
  for (const RolloutStage& stage : report.rollouts) plan.noteReported(stage);
  plan.observe(factsOf(daemon, ms));
  const std::vector<RolloutStage> stages{plan.stage(epoch)};
  shares.merge(stages, SimulatedFleet::at(ms));
  report.rollouts = shares.report(SimulatedFleet::at(ms));
}

void RolloutReplay::report(int daemon, int ms) {
  const VersionShares& shares = *shares_[static_cast<std::size_t>(daemon)];
  FleetReport own;
  own.loads = loads_[static_cast<std::size_t>(daemon)];
  own.evidence = shares.evidence();
  own.rollouts = shares.report(SimulatedFleet::at(ms));
  if (daemon == holder_ && plan_) hold(daemon, *plan_, epoch_, own, ms);
  if (daemon == 0 && oldPlan_) hold(daemon, *oldPlan_, epoch_ - 1, own, ms);
  fleet_.report(daemon, own, ms);
}

/// The store applies a status only under the object's revision.
void RolloutReplay::callStore(int ms) {
  if (!plan_) return;
  const Instant now = SimulatedFleet::at(ms);
  if (ms % kDutyPollMs == 0 && storeUp(ms)) {
    stored_ = plan_->record();
    plan_->noteStored(*stored_);
  }
  if (ms % kStatusPollMs != 0) return;
  std::visit(
      Overloaded{[](const RolloutSteps::Nothing&) {},
                 [&](const RolloutSteps::ReadOrder&) {
                   if (storeUp(ms) && order_) plan_->noteOrder(*order_);
                 },
                 [&](const RolloutSteps::WriteStatus& write) {
                   if (!storeUp(ms)) {
                     plan_->noteStatusOutcome(write.status, DutyOutcome::unavailable, 0, now);
                     return;
                   }
                   if (!order_ || write.revision != order_->revision) {
                     plan_->noteStatusOutcome(write.status, DutyOutcome::superseded, 0, now);
                     return;
                   }
                   ++order_->revision;
                   order_->status = write.status;
                   state_ = write.status.state;
                   stateMs_ = ms - kOrderMs;
                   const bool final = state_ != RolloutState::running;
                   if (state_ == RolloutState::done) {
                     for (int i = 0; i < kUpstreams; ++i)
                       brokenOff_ += inFlight_[static_cast<std::size_t>(i)];
                   }
                   const bool lost = events_.answerLost && final && !std::exchange(lostOnce_, true);
                   plan_->noteStatusOutcome(write.status,
                                            lost ? DutyOutcome::unknown : DutyOutcome::done,
                                            order_->revision, now);
                 }},
      plan_->statusStep(now));
}

void RolloutReplay::changeOrder(int ms) {
  const RolloutPolicy policy{0.1, 50, Millis(5'000)};
  const int since = ms - kOrderMs;
  if (since == 0) {
    order_ = RolloutOrder{"chat", kService, kNew, Millis(kDurationMs), 10, std::nullopt};
    plan_ = std::make_unique<RolloutPlan>(
        policy, RolloutPlan::begin(*order_, factsOf(holder_, ms), nullptr));
    plan_->noteOrder(*order_);
  }
  if (since == events_.deletedAt) {
    order_.reset();
    plan_->withdraw();
  }
  if (since == events_.retargetedAt) {
    order_ = RolloutOrder{"chat", kService, kNext, Millis(kDurationMs), 20, std::nullopt};
    const RolloutRecord before = plan_->record();
    plan_ = std::make_unique<RolloutPlan>(
        policy, RolloutPlan::begin(*order_, factsOf(holder_, ms), &before));
    plan_->noteOrder(*order_);
  }
}

void RolloutReplay::handOver(int ms) {
  const RolloutPolicy policy{0.1, 50, Millis(5'000)};
  const int since = ms - kOrderMs;
  if (events_.holderKilledAt < 0) return;
  if (since == events_.holderKilledAt) {
    if (events_.oldHolderGoesOn) oldPlan_ = std::move(plan_);
    plan_.reset();
  }
  if (since != events_.holderKilledAt + kTakeoverMs || !stored_) return;
  holder_ = 1;
  ++epoch_;
  plan_ = std::make_unique<RolloutPlan>(policy, *stored_);
  if (order_) plan_->noteOrder(*order_);
}

void RolloutReplay::run() {
  double due = 0;
  for (int ms = 0; ms < kEndMs; ms += SimulatedFleet::kStepMs) {
    if (ms % kListingMs == 0) list(ms);
    changeOrder(ms);
    handOver(ms);
    complete(ms);
    due += kRatePerSecond / 1e3 * SimulatedFleet::kStepMs;
    while (due >= 1) {
      due -= 1;
      send(ms);
    }
    fleet_.deliver(
        ms, [](int) { return true; },
        [&](int to, const FleetReport& report) {
          shares_[static_cast<std::size_t>(to)]->merge(report.rollouts, SimulatedFleet::at(ms));
        });
    for (int i = 0; i < daemons_; ++i) {
      if (SimulatedFleet::reportsAt(i, ms)) report(i, ms);
    }
    callStore(ms);
  }
}

}  // namespace Hallchute
