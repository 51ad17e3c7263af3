// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/PlainRunner.h"

#include <algorithm>

#include "Hallchute/src/Core/Overloaded.h"
#include "Hallchute/src/Core/SecretHash.h"
#include "Hallchute/src/Daemon/OnceRecordStore.h"
#include "Hallchute/src/Daemon/RandomName.h"
#include "Hallchute/src/Daemon/RetryBudgets.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Ledger/OnceAttempt.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Upstream/PlainServiceHttp.h"

namespace Hallchute {
namespace {

constexpr Millis kRetryAfter{500};
constexpr double kPercent = 100;
/// Size taken for a call when an owner weighs its upstreams' work.
constexpr std::size_t kCallCost = 1;

}  // namespace

PlainRunner::PlainRunner(TrafficContext& context, OnceRecordStore& keeper, PlainJob job)
    : context_(context), keeper_(keeper), job_(std::move(job)) {}

PlainOutcome PlainRunner::run() {
  return job_.workClass.repeatable ? runRepeatable() : runOnce();
}

Millis PlainRunner::timeLeft() const {
  return std::chrono::duration_cast<Millis>(job_.deadline - clockNow());
}

GrantOutcome PlainRunner::acquire() {
  GrantSpec spec;
  spec.service = job_.service;
  spec.wanted.organisation = job_.organisation->name;
  spec.wanted.weight = static_cast<double>(job_.organisation->weight);
  spec.wanted.priority = job_.workClass.priority;
  spec.wanted.expectedTokens = kCallCost;
  spec.wanted.failedUpstreams = avoid_;
  spec.wanted.deadline = std::min(clockNow() + job_.queueLimit, job_.deadline);
  return context_.acquire(spec);
}

PlainResult PlainRunner::callAt(ScopedGrant& hold) {
  const PolicyScope scope{context_.domain, job_.service, job_.organisation->name};
  const Millis connectLimit(context_.settings.get()->tree.policy(PolicyKey::connectLimitMs, scope));
  PlainServiceHttp service(hold.address(), context_.ownIp, connectLimit);
  return service.call(job_.call, std::max(Millis(1), timeLeft()));
}

void PlainRunner::noteLeaving(const UpstreamId& upstream) {
  context_.noteLeave({upstream, Millis(0), LeaveSource::upstream});
  avoid_.push_back(upstream);
}

PlainOutcome PlainRunner::runRepeatable() {
  const PolicyScope scope{context_.domain, job_.service, job_.organisation->name};
  const auto settings = context_.settings.get();
  const auto percent =
      static_cast<double>(settings->tree.policy(PolicyKey::retryBudgetPercent, scope));
  const auto maxAttempts = settings->tree.policy(PolicyKey::maxAttempts, scope);
  context_.budgets.recordFirstAttempt(job_.service, percent / kPercent);
  Refusal last{RefusalReason::upstreamFailed, "", RunOutcome::notRun, kRetryAfter};
  for (int attempt = 0; attempt < maxAttempts && timeLeft() > Millis(0); ++attempt) {
    if (attempt > 0 && !context_.budgets.tryConsumeRetry(job_.service)) break;
    GrantOutcome grant = acquire();
    if (auto* refusal = std::get_if<Refusal>(&grant)) {
      if (last.outcome != RunOutcome::notRun) refusal->outcome = last.outcome;
      return *refusal;
    }
    ScopedGrant& hold = *std::get<std::unique_ptr<ScopedGrant>>(grant);
    const PlainResult result = callAt(hold);
    if (const auto* answer = std::get_if<PlainResponse>(&result)) {
      if (!answer->leaving) {
        hold.end(GrantEnd::finished);
        return *answer;
      }
      noteLeaving(hold.upstream());
      continue;
    }
    avoid_.push_back(hold.upstream());
    if (const auto* never = std::get_if<PlainNeverSent>(&result)) {
      hold.end(GrantEnd::connectFailed);
      last.detail = never->detail;
    } else {
      hold.end(GrantEnd::broke);
      last.detail = std::get<PlainMaybeSent>(result).detail;
      last.outcome = RunOutcome::unknown;
    }
  }
  return last;
}

PlainOutcome PlainRunner::runOnce() {
  GrantOutcome grant = acquire();
  if (const auto* refusal = std::get_if<Refusal>(&grant)) return *refusal;
  auto hold = std::move(std::get<std::unique_ptr<ScopedGrant>>(grant));
  const std::string key = onceKey(job_.organisation->name, job_.idempotencyKey);
  OnceRecord record;
  record.attempt = randomName();
  record.digest = secretHash(job_.call.method + " " + job_.call.target + "\n" + job_.call.body);
  record.holder = context_.daemon;
  record.startedAtMs = wallClockMs();
  const PolicyScope scope{context_.domain, job_.service, job_.organisation->name};
  record.lifetimeMs = context_.settings.get()->tree.policy(PolicyKey::recordLifetimeMs, scope);
  OnceAttempt attempt(record);
  OnceStep step = attempt.start();
  for (;;) {
    OnceEvent event;
    if (const auto* write = std::get_if<WriteRecord>(&step)) {
      event = keeper_.write(key, write->record, write->ifVersion);
    } else if (std::holds_alternative<ReadRecord>(step)) {
      event = keeper_.read(key);
    } else if (std::holds_alternative<DispatchRequest>(step)) {
      event = dispatchOnce(std::move(hold));
    } else if (const auto* answer = std::get_if<AnswerWithRecord>(&step)) {
      if (answer->storeLater) keeper_.storeLater(key, answer->record);
      if (answer->record.state != OnceState::done) return unknownOutcome(answer->record.body);
      return PlainResponse{answer->record.status, answer->record.contentType, answer->record.body,
                           false};
    } else {
      const auto& refuse = std::get<RefuseRequest>(step);
      if (refuse.abandonLater) {
        OnceRecord abandoned = attempt.record();
        abandoned.state = OnceState::abandoned;
        keeper_.storeLater(key, abandoned);
      }
      return refuse.refusal;
    }
    step = attempt.next(event);
  }
}

/// Sends the request at most once; goes to another upstream only where it surely was not sent.
OnceEvent PlainRunner::dispatchOnce(std::unique_ptr<ScopedGrant> hold) {
  for (;;) {
    if (timeLeft() <= Millis(0))
      return DispatchNeverSent{"requestLimitMs passed before it was sent"};
    const PlainResult result = callAt(*hold);
    if (const auto* answer = std::get_if<PlainResponse>(&result); answer && !answer->leaving) {
      hold->end(GrantEnd::finished);
      return DispatchAnswered{answer->status, answer->contentType, answer->body};
    }
    if (const auto* maybe = std::get_if<PlainMaybeSent>(&result)) {
      hold->end(GrantEnd::broke);
      return DispatchMaybeSent{maybe->detail};
    }
    std::string detail = "the service leaves";
    if (const auto* never = std::get_if<PlainNeverSent>(&result)) {
      detail = never->detail;
      avoid_.push_back(hold->upstream());
      hold->end(GrantEnd::connectFailed);
    } else {
      noteLeaving(hold->upstream());
    }
    if (!context_.budgets.tryConsumeRetry(job_.service)) return DispatchNeverSent{detail};
    GrantOutcome next = acquire();
    if (std::holds_alternative<Refusal>(next)) return DispatchNeverSent{detail};
    hold = std::move(std::get<std::unique_ptr<ScopedGrant>>(next));
  }
}

}  // namespace Hallchute
