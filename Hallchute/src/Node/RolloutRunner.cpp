// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/RolloutRunner.h"

#include <algorithm>
#include <utility>

#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/ExceptionText.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Observability/ThreadName.h"
#include "Hallchute/src/Ports/RolloutPort.h"

namespace Hallchute {
namespace {

/// Delay until a decided status is written; short compared with the time kept for it.
constexpr Millis kCallPoll{100};
/// How long an ended rollout is kept after its time limit.
constexpr Millis kEndedRetention{600'000};
constexpr double kPermille = 1'000;

DutyOutcome outcomeOf(const absl::Status& status) {
  switch (status.code()) {
    case absl::StatusCode::kOk:
      return DutyOutcome::done;
    case absl::StatusCode::kAborted:
      return DutyOutcome::superseded;
    case absl::StatusCode::kNotFound:
      return DutyOutcome::absent;
    case absl::StatusCode::kUnavailable:
      return DutyOutcome::unavailable;
    default:
      return DutyOutcome::unknown;
  }
}

std::string_view describe(RolloutState state) {
  switch (state) {
    case RolloutState::running:
      return "running";
    case RolloutState::done:
      return "done";
    case RolloutState::rolledBack:
      return "rolledBack";
  }
  return "unknown";
}

std::string_view messageOf(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

}  // namespace

RolloutRunner::RolloutRunner(RolloutPorts ports, RolloutPolicy policy, FleetMember self,
                             Millis watchTimeout, Metrics& metrics)
    : ports_(std::move(ports)),
      policy_(policy),
      self_(std::move(self)),
      metrics_(metrics),
      follower_(
          "rollouts", ports_.orders, {watchTimeout, Millis(0), Millis(0)},
          {[this](const ObjectFollower::Objects& objects, std::uint64_t) { readOrders(objects); },
           [] {},
           [this](const absl::Status& status) {
             metrics_.add(
                 "hallchute_store_calls_failed_total",
                 "follows=\"rollouts\",status=\"" + absl::StatusCodeToString(status.code()) + "\"");
           }}) {
  follower_.setMode(FollowMode::off);
}

RolloutRunner::~RolloutRunner() {
  stop();
}

void RolloutRunner::start() {
  follower_.start();
  thread_ = std::thread([this] { runCalls(); });
}

void RolloutRunner::stop() {
  stopping_ = true;
  follower_.stop();
  if (thread_.joinable()) thread_.join();
}

void RolloutRunner::noteHeld(std::uint64_t epoch, const std::vector<RolloutRecord>& stored) {
  const std::lock_guard lock(mutex_);
  if (epoch != epoch_) adopt(epoch, stored);
  for (const RolloutRecord& record : stored) {
    const auto plan = plans_.find(record.service);
    if (plan == plans_.end()) continue;
    plan->second.noteStored(record);
  }
}

void RolloutRunner::adopt(std::uint64_t epoch, const std::vector<RolloutRecord>& stored) {
  epoch_ = epoch;
  plans_.clear();
  for (const RolloutRecord& record : stored)
    plans_.emplace(record.service, RolloutPlan(policy_, record));
}

std::optional<std::vector<RolloutRecord>> RolloutRunner::records() const {
  const std::lock_guard lock(mutex_);
  if (!acting_) return std::nullopt;
  std::vector<RolloutRecord> records;
  for (const auto& [service, plan] : plans_) records.push_back(plan.record());
  return records;
}

/// Also while the outcome of its last write to the record is unknown: a rollback needs no store.
bool RolloutRunner::actsAs(const DutyHolder& holder) const {
  return epoch_ > 0 && holder.epoch == epoch_ && holder.daemon == self_.daemon &&
         holder.incarnation == self_.incarnation && !holder.resigned;
}

std::vector<RolloutStage> RolloutRunner::tick(const RolloutView& view) {
  const std::lock_guard lock(mutex_);
  acting_ = actsAs(view.holder);
  follower_.setMode(acting_ ? FollowMode::following : FollowMode::off);
  std::vector<RolloutStage> stages;
  if (!acting_) {
    orders_.reset();
    return stages;
  }
  for (const RolloutStage& stage : view.stages) {
    const auto plan = plans_.find(stage.service);
    if (plan != plans_.end()) plan->second.noteReported(stage);
  }
  if (orders_) applyOrders(view);
  std::erase_if(plans_, [&](const auto& item) {
    const RolloutRecord& record = item.second.record();
    return item.second.ended() &&
           view.wallClock - record.orderedAt > record.duration + kEndedRetention;
  });
  for (auto& [service, plan] : plans_) {
    const auto facts = view.facts.find(service);
    RolloutFacts none;
    none.wallClock = view.wallClock;
    plan.observe(facts == view.facts.end() ? none : facts->second);
    logChanges(service, plan);
    stages.push_back(plan.stage(epoch_));
  }
  return stages;
}

void RolloutRunner::readOrders(const ObjectFollower::Objects& objects) {
  std::map<ServiceName, RolloutOrder> orders;
  Findings findings;
  for (const auto& [name, object] : objects) {
    std::optional<RolloutOrder> order = ports_.readOrder(object, findings);
    if (!order) continue;
    // Of several objects for a service the later one counts.
    const auto [it, added] = orders.try_emplace(order->service, *order);
    if (!added && order->revision > it->second.revision) it->second = std::move(*order);
  }
  if (!findings.empty()) {
    LogLine(LogLevel::error, "rollouts.faulty").with("findings", describe(findings));
  }
  const std::lock_guard lock(mutex_);
  orders_ = std::move(orders);
}

void RolloutRunner::applyOrders(const RolloutView& view) {
  for (const auto& [service, order] : *orders_) applyOrder(order, view);
  withdrawMissing();
}

void RolloutRunner::applyOrder(const RolloutOrder& order, const RolloutView& view) {
  const auto it = plans_.find(order.service);
  const RolloutRecord* const earlier = it == plans_.end() ? nullptr : &it->second.record();
  const bool known = earlier != nullptr && earlier->target == order.target &&
                     earlier->name == order.name && !it->second.replacedBy(order);
  if (known) {
    it->second.noteOrder(order);
    return;
  }
  // Without a record, a finished order is one that was carried out before the record was lost.
  const bool finished = order.status && order.status->state != RolloutState::running;
  const auto facts = view.facts.find(order.service);
  if (finished || facts == view.facts.end()) return;
  RolloutRecord record = RolloutPlan::begin(order, facts->second, earlier);
  plans_.erase(order.service);
  const auto added = plans_.emplace(order.service, RolloutPlan(policy_, std::move(record))).first;
  added->second.noteOrder(order);
  LogLine(LogLevel::info, "rollout.ordered")
      .with("service", order.service.str())
      .with("target", order.target.str())
      .with("order", order.revision)
      .with("durationMs", order.duration)
      .with("epoch", epoch_);
}

/// The initial list may be older than an order that the record already has.
void RolloutRunner::withdrawMissing() {
  if (!follower_.inContact()) return;
  for (auto& [service, plan] : plans_) {
    if (!orders_->contains(service)) plan.withdraw();
  }
}

void RolloutRunner::logChanges(const ServiceName& service, RolloutPlan& plan) const {
  for (const RolloutChange& change : plan.takeChanges()) {
    LogLine(LogLevel::info, "rollout.stage")
        .with("service", service.str())
        .with("target", plan.record().target.str())
        .with("phase", describe(change.phase))
        .with("sharePermille", static_cast<std::uint64_t>(change.share * kPermille))
        .with("step", static_cast<std::uint64_t>(change.step))
        .with("epoch", epoch_)
        .with("reason", change.reason)
        .with("route", change.route)
        .with("newAnswers", change.target.answers)
        .with("newFailures", change.target.failures)
        .with("newTimed", change.target.timed())
        .with("oldAnswers", change.previous.answers)
        .with("oldFailures", change.previous.failures)
        .with("oldTimed", change.previous.timed())
        .with("reportLagMs", change.reportLag)
        .with("leftMs", static_cast<std::int64_t>(change.left.count()));
    metrics_.add("hallchute_rollout_stages_total", "service=\"" + service.str() + "\",phase=\"" +
                                                       std::string(describe(change.phase)) + "\"");
  }
}

void RolloutRunner::runCalls() {
  nameThread("rollouts");
  while (!stopping_) {
    bool called = false;
    try {
      called = callOnce();
    } catch (const std::exception& e) {
      LogLine(LogLevel::error, "rollout.exception").with("detail", exceptionText(e));
    }
    if (!called) std::this_thread::sleep_for(kCallPoll);
  }
}

bool RolloutRunner::callOnce() {
  std::vector<std::pair<ServiceName, RolloutStep>> steps;
  {
    const std::lock_guard lock(mutex_);
    if (!acting_) return false;
    for (const auto& [service, plan] : plans_) {
      RolloutStep step = plan.statusStep(clockNow());
      if (!std::holds_alternative<RolloutSteps::Nothing>(step))
        steps.emplace_back(service, std::move(step));
    }
  }
  for (const auto& step : steps)
    std::visit([&](const auto& s) { perform(step.first, s); }, step.second);
  return !steps.empty();
}

void RolloutRunner::perform(const ServiceName&, const RolloutSteps::Nothing&) {}

void RolloutRunner::perform(const ServiceName& service, const RolloutSteps::ReadOrder& step) {
  const absl::StatusOr<RolloutOrder> order = ports_.status.read(step.name);
  const std::lock_guard lock(mutex_);
  const auto plan = plans_.find(service);
  if (plan == plans_.end()) return;
  const RolloutRecord& record = plan->second.record();
  if (!order.ok()) {
    plan->second.noteStatusOutcome({RolloutState::running, record.target},
                                   outcomeOf(order.status()), 0, clockNow());
  } else if (order->target == record.target && order->service == service) {
    plan->second.noteOrder(*order);
  }
}

void RolloutRunner::perform(const ServiceName& service, const RolloutSteps::WriteStatus& step) {
  const absl::StatusOr<std::uint64_t> revision =
      ports_.status.writeStatus(step.name, step.revision, step.status);
  LogLine(LogLevel::info, "rollout.status")
      .with("service", service.str())
      .with("target", step.status.target.str())
      .with("state", describe(step.status.state))
      .with("revision", step.revision)
      .with("ok", revision.ok())
      .with("detail", messageOf(revision.status()));
  metrics_.add("hallchute_rollout_status_writes_total",
               std::string("state=\"") + std::string(describe(step.status.state)) + "\",ok=\"" +
                   (revision.ok() ? "true\"" : "false\""));
  const std::lock_guard lock(mutex_);
  const auto plan = plans_.find(service);
  if (plan == plans_.end() || plan->second.record().target != step.status.target) return;
  plan->second.noteStatusOutcome(step.status, outcomeOf(revision.status()), revision.value_or(0),
                                 clockNow());
}

}  // namespace Hallchute
