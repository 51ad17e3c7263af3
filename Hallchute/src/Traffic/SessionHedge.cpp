// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Traffic/SessionHedge.h"

#include <optional>
#include <utility>

#include "Hallchute/src/Gateway/HedgePolicy.h"
#include "Hallchute/src/Gateway/RouteTable.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Traffic/SessionDispatch.h"
#include "Hallchute/src/Traffic/TrafficEngine.h"

namespace Hallchute {
namespace {

std::string_view outcomeOf(DispatchResult result, bool otherAnswers) {
  switch (result) {
    case DispatchResult::answered:
      return "won";
    case DispatchResult::rejected:
      return "rejected";
    case DispatchResult::unreachable:
    case DispatchResult::broken:
    case DispatchResult::failed:
      return "failed";
    case DispatchResult::silent:
    case DispatchResult::abandoned:
      return otherAnswers ? "lost" : "unfinished";
  }
  return "unfinished";
}

}  // namespace

SessionHedge::SessionHedge(TrafficEngine& engine, const Route& route, ServiceName service,
                           std::string requestId)
    : engine_(engine),
      route_(route),
      service_(std::move(service)),
      requestId_(std::move(requestId)) {}

SessionHedge::~SessionHedge() {
  disarm();
}

void SessionHedge::noteRequest() {
  engine_.hedges().noteRequest(route_.name, clockNow());
}

void SessionHedge::arm(std::function<void()> due) {
  if (!route_.mayRepeat()) return;
  armedAt_ = clockNow();
  const std::optional<Millis> delay = engine_.hedges().delay(route_.name, armedAt_);
  if (!delay) return;
  delay_ = *delay;
  timer_ = engine_.loop().after(delay_, [this, due = std::move(due)] {
    timer_ = 0;
    due();
  });
}

void SessionHedge::disarm() {
  engine_.loop().cancel(std::exchange(timer_, 0));
}

bool SessionHedge::mayHedge(const UpstreamEntry* second, std::uint64_t promptTokens) {
  const UpstreamTable& upstreams = engine_.upstreamTable();
  const Instant now = clockNow();
  HedgeConditions conditions;
  // An ejected or unlisted upstream is a last resort, not worth a hedge.
  conditions.hasUpstream =
      second != nullptr && !second->unlistedSince && second->ejectedUntil <= now;
  conditions.requestsWait = engine_.requestsWait(service_);
  conditions.objective = route_.latencyObjective;
  if (second != nullptr) {
    conditions.needsSlot = upstreams.rejectionLimits().limited(second->record.id);
    predictedFirstEvent_ = upstreams.predictedFirstEvent(*second, promptTokens);
    conditions.predictedFirstEvent = predictedFirstEvent_;
  }
  const HedgeVerdict verdict = engine_.hedges().decide(route_.name, conditions, now);
  if (verdict == HedgeVerdict::hedge) return true;
  deny(describe(verdict));
  return false;
}

bool SessionHedge::takeFromBudget() {
  if (engine_.takeHedge(service_)) return true;
  deny("budget");
  return false;
}

void SessionHedge::deny(std::string_view reason) {
  const Instant now = clockNow();
  HedgePolicy& policy = engine_.hedges();
  LogLine(LogLevel::info, "request.hedgeDenied")
      .with("request", requestId_)
      .with("route", route_.name)
      .with("reason", reason)
      .with("delayMs", delay_)
      .with("waitedMs", std::chrono::duration_cast<Millis>(now - armedAt_))
      .with("requests", policy.requestCount(route_.name, now))
      .with("hedges", policy.hedgeCount(route_.name, now))
      .with("predictedMs", predictedFirstEvent_)
      .with("objectiveMs", route_.latencyObjective);
  engine_.metrics().add("hallchute_hedges_denied_total", "reason=\"" + std::string(reason) + "\"");
}

void SessionHedge::noteSent(const SessionDispatch& hedge, const SessionDispatch& first) {
  const Instant now = clockNow();
  HedgePolicy& policy = engine_.hedges();
  hedge_ = &hedge;
  policy.noteHedge(route_.name, now);
  LogLine(LogLevel::info, "request.hedged")
      .with("request", requestId_)
      .with("route", route_.name)
      .with("service", service_.str())
      .with("first", first.upstream().id.str())
      .with("second", hedge.upstream().id.str())
      .with("delayMs", delay_)
      .with("waitedMs", std::chrono::duration_cast<Millis>(now - first.startedAt()))
      .with("requests", policy.requestCount(route_.name, now))
      .with("hedges", policy.hedgeCount(route_.name, now))
      .with("predictedMs", predictedFirstEvent_);
}

void SessionHedge::noteFirstData(Millis time) {
  disarm();
  engine_.hedges().noteFirstData(route_.name, time, clockNow());
}

void SessionHedge::noteEnded(const SessionDispatch& dispatch, DispatchResult result,
                             const SessionDispatch* answering) {
  if (hedge_ == nullptr || !outcome_.empty()) return;
  if (isHedge(dispatch)) {
    settle(outcomeOf(result, answering != nullptr));
  } else if (answering == hedge_) {
    settle("won");
  }
}

void SessionHedge::settle(std::string_view outcome) {
  outcome_ = outcome;
  engine_.metrics().add("hallchute_hedges_total", "outcome=\"" + std::string(outcome) + "\"");
}

}  // namespace Hallchute
