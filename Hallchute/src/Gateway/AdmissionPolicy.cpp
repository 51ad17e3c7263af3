// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/AdmissionPolicy.h"

#include <algorithm>

#include "Hallchute/src/Core/StableHash.h"

namespace Hallchute {
namespace {

/// Threshold of a rank as a fraction of the next more urgent one's.
constexpr double kRankFraction = 0.75;
/// Threshold of a late request as a fraction of its rank's: capacity that on-time requests leave.
constexpr double kLateFraction = 0.3;
/// Less urgent work in a queue delay, as a multiple of its threshold: more of it is dispatched
/// until reports show the first.
constexpr double kOvertakenThresholds = 4;
/// A request counts as late once the queue delay exceeds the time that its objective leaves by this
/// fraction of the objective: estimates are rough, and the delay may be shorter elsewhere.
constexpr double kLateMargin = 0.25;
/// Fraction of the time limit after which a waiting request is dispatched in any case.
constexpr double kMaxWaitFraction = 0.7;
/// A request is dispatched once it has no more than this multiple of the time that it still needs.
constexpr double kReservedTime = 1.5;
/// Maximum Retry-After as a fraction of the time left: callers don't follow a longer one.
constexpr double kMaxRetryAfterFraction = 1.0 / 3;
constexpr Millis kMinRetryAfter{50};

Millis scaled(Millis time, double factor) {
  return Millis(static_cast<Millis::rep>(static_cast<double>(time.count()) * factor));
}

Millis between(Instant from, Instant to) {
  return std::chrono::duration_cast<Millis>(to - from);
}

bool runsOutOfTime(const AdmissionDecision& decision) {
  return decision.timeLeft <= scaled(decision.queueDelay + decision.promptTime, kReservedTime);
}

}  // namespace

Millis AdmissionPolicy::rankThreshold(const AdmissionRequest& request) {
  double fraction = 1;
  for (std::uint32_t rank = 0; rank < request.rank; ++rank) fraction *= kRankFraction;
  return scaled(std::min(request.objective, request.urgentObjective), fraction);
}

Millis AdmissionPolicy::lateThreshold(const AdmissionRequest& request) {
  return scaled(rankThreshold(request), kLateFraction);
}

bool AdmissionPolicy::overdue(const AdmissionRequest& request, Instant waitingSince, Instant now) {
  const Millis limit = between(request.receivedAt, request.deadline);
  return between(waitingSince, now) >= scaled(limit, kMaxWaitFraction);
}

AdmissionDecision AdmissionPolicy::decide(const AdmissionRequest& request,
                                          const std::optional<AdmissionForecast>& forecast,
                                          Instant now, std::optional<Instant> waitingSince) {
  AdmissionDecision decision;
  decision.timeLeft = between(now, request.deadline);
  if (!forecast) return decision;
  decision.queueDelay = forecast->queueDelay;
  decision.promptTime = forecast->promptTime;
  const Millis slack = request.objective - between(request.receivedAt, now) - forecast->promptTime;
  const Millis margin = scaled(request.objective, kLateMargin);
  const Millis overtaken =
      request.overtakes ? scaled(rankThreshold(request), kRankFraction * kOvertakenThresholds)
                        : Millis(0);
  decision.late = slack < Millis(0) || forecast->queueDelay > slack + margin + overtaken;
  const Millis rankLimit = rankThreshold(request);
  decision.threshold = decision.late ? lateThreshold(request) : std::min(slack, rankLimit);
  if (request.overtakes) decision.threshold += overtaken;
  decision.threshold = std::max(decision.threshold, kShortQueue);
  if (!forecast->full && forecast->queueDelay <= decision.threshold) return decision;
  if (decision.queueDelay + decision.promptTime > decision.timeLeft) {
    decision.verdict = refusal(decision, request, "overTimeLimit", Millis(0));
    return decision;
  }
  const bool due = waitingSince && overdue(request, *waitingSince, now);
  if (due || runsOutOfTime(decision)) {
    decision.verdict = AdmissionVerdicts::Dispatch{true};
  } else {
    decision.verdict = AdmissionVerdicts::Wait{};
  }
  return decision;
}

void AdmissionPolicy::limitWait(AdmissionDecision& decision, const AdmissionRequest& request,
                                Millis drainTime) {
  if (!std::holds_alternative<AdmissionVerdicts::Wait>(decision.verdict)) return;
  // The most urgent go before all others while they can be on time.
  if (request.rank == 0 && !decision.late) return;
  if (decision.queueDelay + drainTime + decision.promptTime <= decision.timeLeft) return;
  decision.verdict = refusal(decision, request, "overTimeLimit", drainTime);
}

AdmissionVerdicts::Refuse AdmissionPolicy::refusal(const AdmissionDecision& decision,
                                                   const AdmissionRequest& request,
                                                   std::string_view reason, Millis drainTime) {
  const Millis most = scaled(decision.timeLeft, kMaxRetryAfterFraction);
  const Millis excess = std::max(Millis(0), decision.queueDelay - decision.threshold);
  const Millis latest = std::min(most, std::max(excess + drainTime, kMinRetryAfter));
  const Millis earliest = std::min(excess, latest / 2);
  const double draw = hashFraction(request.criteria.requestId);
  return {reason, std::max(Millis(0), earliest + scaled(latest - earliest, draw))};
}

}  // namespace Hallchute
