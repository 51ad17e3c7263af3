// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/DutyRunner.h"

#include <utility>

#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/ExceptionText.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Observability/ThreadName.h"
#include "Hallchute/src/Ports/DutyPort.h"

namespace Hallchute {
namespace {

/// Bounds the delay from a reclaim to the order of a replacement; short compared with a replica's
/// boot time.
constexpr Millis kPollPeriod{250};

/// Attempts of a starting daemon to read the fleet's size from the store: after that it has
/// discovered the other daemons.
constexpr int kMaxSizeReads = 2;

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

void DutyRunner::updateHolder() {
  const bool holdsDuties = keeper_.holdsDuties();
  if (holdsDuties != wasHolder_) {
    wasHolder_ = holdsDuties;
    LogLine(LogLevel::info, holdsDuties ? "duty.taken" : "duty.left")
        .with("epoch", keeper_.holder().epoch);
  }
  // The epoch is unchanged if the holder missed the response to a write and later found it done:
  // its planner keeps its orders.
  if (holdsDuties && lastHeldEpoch_ != keeper_.holder().epoch) {
    lastHeldEpoch_ = keeper_.holder().epoch;
    planner_.resetOrders(lastHeldEpoch_ > kFirstEpoch);
  }
  const std::lock_guard lock(mutex_);
  const DutyHolder known = keeper_.holder();
  if (known.epoch >= holder_.epoch) holder_ = known;
}

bool DutyRunner::readEarlierSize() {
  const absl::StatusOr<StoredDutyRecord> stored = port_.read(ReadConsistency::possiblyStale);
  if (stored.ok()) {
    callbacks_.onEarlierSize(stored->record.daemons);
    callbacks_.onQuarantine(stored->record.crashHistories);
  }
  if (stored.ok() && !stored->record.rejectionLimits.empty())
    callbacks_.onEarlierLimits(stored->record.rejectionLimits);
  const bool answered = stored.ok() || absl::IsNotFound(stored.status());
  LogLine(LogLevel::info, "fleet.earlierSize")
      .with("daemons", static_cast<std::uint64_t>(stored.ok() ? stored->record.daemons : 0))
      .with("answered", answered)
      .with("detail", messageOf(stored.status()));
  return answered;
}

void DutyRunner::run() {
  nameThread("duties");
  bool sizeRead = false;
  for (int i = 0; i < kMaxSizeReads && !sizeRead && !stopping_; ++i) {
    runTurn([&] { sizeRead = readEarlierSize(); });
  }
  while (!stopping_) {
    runTurn([this] { runOnce(); });
    std::this_thread::sleep_for(kPollPeriod);
  }
}

void DutyRunner::runTurn(const std::function<void()>& turn) {
  try {
    turn();
  } catch (const std::exception& e) {
    LogLine(LogLevel::error, "duty.exception")
        .with("epoch", keeper_.holder().epoch)
        .with("detail", exceptionText(e));
    metrics_.add("hallchute_duty_exceptions_total", "");
    // A write whose outcome nobody noted may have been executed, as after a lost response: the
    // record is read again before any other step.
    keeper_.stepDown();
    updateHolder();
  }
}

void DutyRunner::runOnce() {
  const DutyInput input = callbacks_.input();
  if (input.leaving) {
    if (keeper_.holdsDuties()) release(input.facts);
    updateHolder();
    return;
  }
  const DutyStep step = keeper_.next(input.facts, clockNow());
  std::visit([&](const auto& s) { perform(s, input); }, step);
  updateHolder();
  if (keeper_.holdsDuties()) callbacks_.onHeld(keeper_.holder().epoch, keeper_.storedRollouts());
}

void DutyRunner::release(const DutyFacts& facts) {
  const auto write = std::get<DutySteps::Write>(keeper_.release(facts));
  const absl::StatusOr<std::uint64_t> revision = port_.write(write.record, write.revision);
  LogLine(LogLevel::info, "duty.released")
      .with("epoch", write.record.holder.epoch)
      .with("ok", revision.ok())
      .with("detail", messageOf(revision.status()));
  // Retried in the next iteration.
  if (absl::IsUnavailable(revision.status())) return;
  keeper_.stepDown();
}

void DutyRunner::perform(const DutySteps::Nothing&, const DutyInput& input) {
  if (keeper_.holdsDuties() && options_.ordersReplicas) orderReplicas(input);
}

void DutyRunner::perform(const DutySteps::Read&, const DutyInput&) {
  const absl::StatusOr<StoredDutyRecord> stored = port_.read(ReadConsistency::latest);
  if (stored.ok()) {
    keeper_.noteRead(*stored, clockNow());
    callbacks_.onQuarantine(stored->record.crashHistories);
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
      .with("heard", input.facts.live.size())
      .with("epoch", step.epoch)
      .with("ok", status.ok())
      .with("detail", messageOf(status));
  metrics_.add("hallchute_usage_reports_total", status.ok() ? "ok=\"true\"" : "ok=\"false\"");
  keeper_.noteOutcome(outcomeOf(status), 0, clockNow());
}

/// Logs counts that arrived after a window's report was finalised and are missing in it, so that
/// late reports can be told from lost ones.
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

void DutyRunner::logReplicaNeeds(const CapacityView& view) {
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
  logReplicaNeeds(view);
  for (const ReplicaOrder& order : orders) {
    // A holder whose process was suspended must not place orders from stale state.
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
