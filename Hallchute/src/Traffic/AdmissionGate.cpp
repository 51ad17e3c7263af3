// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Traffic/AdmissionGate.h"

#include <string>
#include <utility>
#include <vector>

#include "Hallchute/src/Gateway/AdmissionOutlook.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {
namespace {

/// Time between two looks at what waits, beside those at each report: own requests end and time
/// limits come closer meanwhile. A look costs a few choices of an upstream.
constexpr Millis kReconsiderPeriod{25};
/// Retry-After of a daemon that stops: another daemon can serve the request at once.
constexpr Millis kStopRetryAfter{10};

/// Name, log event and outcome of a verdict in logs and metrics.
struct VerdictNames {
  std::string_view event;
  std::string_view decision;
};

struct NameVerdict {
  VerdictNames operator()(const AdmissionVerdicts::Dispatch& verdict) const {
    return {"request.released", verdict.overdue ? "overdue" : "released"};
  }
  VerdictNames operator()(const AdmissionVerdicts::Wait& /*verdict*/) const {
    return {"request.waiting", "waiting"};
  }
  VerdictNames operator()(const AdmissionVerdicts::Refuse& verdict) const {
    return {"request.refused", verdict.reason};
  }
};

VerdictNames namesOf(const AdmissionVerdict& verdict) {
  return std::visit(NameVerdict{}, verdict);
}

}  // namespace

AdmissionGate::AdmissionGate(EventLoop& loop, const UpstreamTable& upstreams, Metrics& metrics,
                             const AdmissionLimits& limits)
    : loop_(loop), upstreams_(upstreams), metrics_(metrics), limits_(limits), queue_(limits) {}

AdmissionGate::~AdmissionGate() {
  loop_.cancel(timer_);
}

void AdmissionGate::count(std::string_view decision) {
  metrics_.add("hallchute_admission_total", "decision=\"" + std::string(decision) + "\"");
}

void AdmissionGate::log(std::string_view event, const AdmissionRequest& request,
                        const AdmissionDecision& decision, Millis waited) const {
  const ServiceName& service = request.criteria.service;
  const WaitingLoads& others = queue_.loadsElsewhere();
  const auto elsewhere = others.find(service);
  const Millis reportAge = std::chrono::duration_cast<Millis>(clockNow() - reportedAt_);
  const auto* refusal = std::get_if<AdmissionVerdicts::Refuse>(&decision.verdict);
  LogLine(LogLevel::info, event, refusal == nullptr ? LogPriority::ordinary : LogPriority::outcome)
      .with("request", request.criteria.requestId)
      .with("service", service.str())
      .with("reason", namesOf(decision.verdict).decision)
      .with("predictedMs", decision.queueDelay)
      .with("promptMs", decision.promptTime)
      .with("thresholdMs", decision.threshold)
      .with("rank", static_cast<std::uint64_t>(request.rank))
      .with("late", decision.late)
      .with("leftMs", decision.timeLeft)
      .with("waitedMs", waited)
      .with("waitingHere", static_cast<std::uint64_t>(queue_.waiting(service)))
      .with("waitingElsewhere",
            static_cast<std::uint64_t>(elsewhere == others.end() ? 0 : elsewhere->second.requests))
      .with("reportAgeMs", reportedAt_ == Instant{} ? Millis(-1) : reportAge)
      .with("retryAfterMs", refusal == nullptr ? Millis(0) : refusal->retryAfter);
}

void AdmissionGate::enter(const AdmissionRequest& request, Sink sink) {
  const Instant now = clockNow();
  AdmissionDecision decision = queue_.enter(request, outlookOf(upstreams_, now), now);
  const bool waits = std::holds_alternative<AdmissionVerdicts::Wait>(decision.verdict);
  if (waits && stopping_) {
    queue_.remove(request.session);
    decision.verdict = AdmissionVerdicts::Refuse{"stopping", kStopRetryAfter};
  }
  const VerdictNames names = namesOf(decision.verdict);
  if (std::holds_alternative<AdmissionVerdicts::Dispatch>(decision.verdict)) {
    count("dispatched");
    sink(decision.verdict);
    return;
  }
  count(names.decision);
  log(names.event, request, decision, Millis(0));
  if (!waits || stopping_) {
    sink(decision.verdict);
    return;
  }
  held_[request.session] = {request, std::move(sink)};
  scheduleReconsideration();
}

void AdmissionGate::remove(std::uint64_t session) {
  queue_.remove(session);
  held_.erase(session);
}

void AdmissionGate::scheduleReconsideration() {
  if (timer_ != 0 || held_.empty()) return;
  timer_ = loop_.after(kReconsiderPeriod, [this] {
    timer_ = 0;
    reconsider();
  });
}

void AdmissionGate::noteReports(const FleetWaiting& elsewhere) {
  reportedAt_ = clockNow();
  queue_.noteReports(elsewhere);
  reconsider();
}

void AdmissionGate::reconsider() {
  while (true) {
    const Instant now = clockNow();
    const std::vector<AdmissionRelease> releases =
        queue_.reconsider(outlookOf(upstreams_, now), now);
    if (releases.empty()) break;
    for (const AdmissionRelease& release : releases) resolve(release);
  }
  scheduleReconsideration();
}

void AdmissionGate::resolve(const AdmissionRelease& release) {
  const auto it = held_.find(release.session);
  if (it == held_.end()) return;
  const Held held = std::move(it->second);
  held_.erase(it);
  const VerdictNames names = namesOf(release.decision.verdict);
  count(names.decision);
  metrics_.time("hallchute_admission_wait_ms", "decision=\"" + std::string(names.decision) + "\"",
                release.waited);
  log(names.event, held.request, release.decision, release.waited);
  held.sink(release.decision.verdict);
}

void AdmissionGate::refuseForStop(std::uint64_t session) {
  const auto it = held_.find(session);
  if (it == held_.end()) return;
  const auto waited =
      std::chrono::duration_cast<Millis>(clockNow() - it->second.request.receivedAt);
  AdmissionDecision decision;
  decision.verdict = AdmissionVerdicts::Refuse{"stopping", kStopRetryAfter};
  decision.timeLeft = std::chrono::duration_cast<Millis>(it->second.request.deadline - clockNow());
  resolve({session, decision, waited});
}

void AdmissionGate::stop() {
  stopping_ = true;
  for (const std::uint64_t session : queue_.drain()) refuseForStop(session);
}

}  // namespace Hallchute
