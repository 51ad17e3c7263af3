// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/DutyRunner.h"

#include <utility>

#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Ports/DutyPort.h"

namespace Hallchute {
namespace {

/// Orders follow a reclaim within this, which is little beside a replica's boot.
constexpr Millis kTurnPeriod{250};

/// How often a starting daemon asks the store for the fleet's size: later the others are met.
constexpr int kSizeReads = 2;

/// The epoch of a deployment's first holder.
constexpr std::uint64_t kFirstEpoch = 1;

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

std::string_view messageOf(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

std::uint64_t sumOf(const UsageCounts& counts) {
  std::uint64_t sum = 0;
  for (const auto& [organisation, count] : counts) sum += count;
  return sum;
}

}  // namespace

DutyRunner::DutyRunner(DutyPort& port, DutyRunnerOptions options, FleetMember self,
                       Callbacks callbacks, Metrics& metrics)
    : port_(port),
      options_(options),
      self_(std::move(self)),
      callbacks_(std::move(callbacks)),
      metrics_(metrics),
      keeper_(options_.policy, self_.daemon, self_.incarnation),
      planner_(CapacityPolicy{}) {}

DutyRunner::~DutyRunner() {
  stop();
}

void DutyRunner::start() {
  thread_ = std::thread([this] { run(); });
}

void DutyRunner::stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

DutyHolder DutyRunner::holder() const {
  const std::lock_guard lock(mutex_);
  return holder_;
}

void DutyRunner::noteHolder() {
  const bool holdsDuties = keeper_.holdsDuties();
  if (holdsDuties != held_) {
    held_ = holdsDuties;
    LogLine(LogLevel::info, holdsDuties ? "duty.taken" : "duty.left")
        .with("epoch", keeper_.holder().epoch);
  }
  // A holder that lost a write's answer and found it done goes on with what it ordered.
  if (holdsDuties && heldEpoch_ != keeper_.holder().epoch) {
    heldEpoch_ = keeper_.holder().epoch;
    planner_.resetOrders(heldEpoch_ > kFirstEpoch);
  }
  const std::lock_guard lock(mutex_);
  const DutyHolder known = keeper_.holder();
  if (known.epoch >= holder_.epoch) holder_ = known;
}

bool DutyRunner::readEarlierSize() {
  const absl::StatusOr<StoredDutyRecord> stored = port_.read(ReadAge::maybeOld);
  if (stored.ok()) callbacks_.earlierSize(stored->record.daemons);
  const bool answered = stored.ok() || absl::IsNotFound(stored.status());
  LogLine(LogLevel::info, "fleet.earlierSize")
      .with("daemons", static_cast<std::uint64_t>(stored.ok() ? stored->record.daemons : 0))
      .with("answered", answered)
      .with("detail", messageOf(stored.status()));
  return answered;
}

void DutyRunner::run() {
  bool sizeRead = false;
  for (int i = 0; i < kSizeReads && !sizeRead && !stopping_; ++i) sizeRead = readEarlierSize();
  while (!stopping_) {
    turn();
    std::this_thread::sleep_for(kTurnPeriod);
  }
}

void DutyRunner::turn() {
  const DutyInput input = callbacks_.input();
  if (input.leaving) {
    if (keeper_.holdsDuties()) release(input.facts);
    noteHolder();
    return;
  }
  const DutyStep step = keeper_.next(input.facts, clockNow());
  std::visit([&](const auto& s) { perform(s, input); }, step);
  noteHolder();
}

void DutyRunner::release(const DutyFacts& facts) {
  const auto write = std::get<DutySteps::Write>(keeper_.release(facts));
  const absl::StatusOr<std::uint64_t> revision = port_.write(write.record, write.revision);
  LogLine(LogLevel::info, "duty.released")
      .with("epoch", write.record.holder.epoch)
      .with("ok", revision.ok())
      .with("detail", messageOf(revision.status()));
  // The next turn tries again.
  if (absl::IsUnavailable(revision.status())) return;
  keeper_.stepDown();
}

void DutyRunner::perform(const DutySteps::Nothing&, const DutyInput& input) {
  if (keeper_.holdsDuties() && options_.ordersReplicas) orderReplicas(input);
}

void DutyRunner::perform(const DutySteps::Read&, const DutyInput&) {
  const absl::StatusOr<StoredDutyRecord> stored = port_.read(ReadAge::newest);
  if (stored.ok()) {
    keeper_.noteRead(*stored, clockNow());
  } else {
    keeper_.noteOutcome(outcomeOf(stored.status()), 0, clockNow());
  }
}

void DutyRunner::perform(const DutySteps::Create& step, const DutyInput&) {
  const absl::StatusOr<std::uint64_t> revision = port_.create(step.record);
  keeper_.noteOutcome(outcomeOf(revision.status()), revision.value_or(0), clockNow());
}

void DutyRunner::perform(const DutySteps::Write& step, const DutyInput&) {
  const absl::StatusOr<std::uint64_t> revision = port_.write(step.record, step.revision);
  keeper_.noteOutcome(outcomeOf(revision.status()), revision.value_or(0), clockNow());
}

void DutyRunner::perform(const DutySteps::SendUsage& step, const DutyInput& input) {
  logLateCounts(input.facts);
  lastReported_ = ReportedWindow{step.window, sumOf(step.counts)};
  DutyHolder holder = keeper_.holder();
  holder.epoch = step.epoch;
  const absl::Status status = port_.reportUsage(holder, step.window, step.counts);
  LogLine(LogLevel::info, "duty.usage")
      .with("window", step.window)
      .with("requests", sumOf(step.counts))
      .with("heard", input.facts.heard.size())
      .with("epoch", step.epoch)
      .with("ok", status.ok())
      .with("detail", messageOf(status));
  metrics_.add("hallchute_usage_reports_total", status.ok() ? "ok=\"true\"" : "ok=\"false\"");
  keeper_.noteOutcome(outcomeOf(status), 0, clockNow());
}

/// Counts that came after a window's report was fixed are missing in it: the line tells a late word
/// from one that never came.
void DutyRunner::logLateCounts(const DutyFacts& facts) const {
  if (!lastReported_) return;
  const auto counts = facts.usage.find(lastReported_->window);
  const std::uint64_t known = counts == facts.usage.end() ? 0 : sumOf(counts->second);
  if (known <= lastReported_->requests) return;
  LogLine(LogLevel::info, "duty.usageChanged")
      .with("window", lastReported_->window)
      .with("reported", lastReported_->requests)
      .with("known", known);
}

void DutyRunner::logNeeds(const CapacityView& view) {
  for (const GatewayService& service : view.services) {
    const std::uint32_t need = planner_.need(service.name);
    std::uint32_t& logged = loggedNeeds_[service.name];
    if (need == logged) continue;
    const auto load = view.load.find(service.name);
    LogLine(LogLevel::info, "capacity.need")
        .with("service", service.name.str())
        .with("replicas", static_cast<std::uint64_t>(need))
        .with("before", static_cast<std::uint64_t>(logged))
        .with("load", static_cast<std::uint64_t>(load == view.load.end() ? 0 : load->second))
        .with("quotaTokens", static_cast<std::uint64_t>(view.quotaTokens));
    logged = need;
  }
}

void DutyRunner::orderReplicas(const DutyInput& input) {
  const CapacityView view{input.services, input.upstreams, input.load, input.quotaTokens};
  const std::vector<ReplicaOrder> orders = planner_.plan(view, clockNow());
  logNeeds(view);
  for (const ReplicaOrder& order : orders) {
    // A holder that slept must not order by what it knew before.
    if (!keeper_.renewedWithin(options_.policy.window + options_.policy.lease, clockNow())) {
      perform(std::get<DutySteps::Write>(keeper_.renewal()), input);
      return;
    }
    const absl::Status status = port_.order(keeper_.holder(), order);
    LogLine(LogLevel::info, "duty.order")
        .with("service", order.group.service.str())
        .with("domain", order.group.domain.str())
        .with("reclaimable", order.group.reclaimable)
        .with("count", static_cast<std::uint64_t>(order.count))
        .with("ok", status.ok())
        .with("detail", messageOf(status));
    if (status.ok()) {
      planner_.noteOrdered(order);
    } else if (absl::IsResourceExhausted(status)) {
      planner_.noteRefused(order.group, clockNow());
    } else if (absl::IsAborted(status)) {
      keeper_.stepDown();
      return;
    }
  }
}

}  // namespace Hallchute
