// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/AnswerRunner.h"

#include <algorithm>

#include "Hallchute/src/Core/Overloaded.h"
#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Daemon/RetryBudgets.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/Log.h"
#include "Hallchute/src/Observability/LogContext.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Upstream/EngineHttp.h"

namespace Hallchute {
namespace {

constexpr Millis kLeastPause{50};
constexpr Millis kMostPause{1'000};
constexpr double kPercent = 100;
constexpr std::size_t kMostAvoided = 8;

std::int64_t policyNumber(const TrafficContext& context, const JobSpec& spec, PolicyKey key) {
  const PolicyScope scope{context.domain, spec.service, spec.organisation};
  return context.settings.get()->tree.policy(key, scope);
}

}  // namespace

AnswerRunner::AnswerRunner(TrafficContext& context, std::shared_ptr<Job> job)
    : context_(context), job_(std::move(job)) {}

std::string AnswerRunner::labels() const {
  return "service=\"" + job_->spec().service.str() + "\",class=\"" + job_->spec().workClass.str() +
         "\"";
}

bool AnswerRunner::accepted() const {
  return resumption_ || job_->spec().durable;
}

void AnswerRunner::run() {
  const LogContext request("request", job_->spec().request.str());
  const LogContext organisation("organisation", job_->spec().organisation.str());
  const LogContext service("service", job_->spec().service.str());
  const double ratio =
      static_cast<double>(policyNumber(context_, job_->spec(), PolicyKey::retryBudgetPercent)) /
      kPercent;
  context_.budgets.recordFirstAttempt(job_->spec().service, ratio);
  resumption_ = job_->tokenCount() > 0;
  while (step() == Next::again) {
  }
}

AnswerRunner::Next AnswerRunner::step() {
  if (job_->command() == JobCommand::cancel) {
    job_->refuse(lastRefusal(RefusalReason::badRequest, "cancelled by its caller"));
    return Next::done;
  }
  if (job_->command() == JobCommand::pause) {
    job_->markPaused();
    return Next::done;
  }
  if (job_->command() == JobCommand::move) job_->takeMove();
  if (clockNow() >= job_->spec().deadline) {
    job_->refuse(lastRefusal(RefusalReason::upstreamFailed, "requestLimitMs has passed"));
    return Next::done;
  }
  GrantOutcome outcome = context_.acquire(makeSpec());
  if (const auto* refusal = std::get_if<Refusal>(&outcome)) return onRefused(*refusal);
  return attempt(*std::get<std::unique_ptr<ScopedGrant>>(outcome));
}

GrantSpec AnswerRunner::makeSpec() const {
  const JobSpec& job = job_->spec();
  GrantSpec spec;
  spec.service = job.service;
  spec.wanted.organisation = job.organisation;
  spec.wanted.weight = job.weight;
  spec.wanted.priority = job.priority;
  spec.wanted.promptTokens = job.promptTokens;
  spec.wanted.expectedTokens = job.maxTokens - std::min(job.maxTokens, job_->tokenCount());
  spec.wanted.affinity = job.affinity;
  spec.wanted.prefixHashes = job.prefixHashes;
  spec.wanted.failedUpstreams = avoid_;
  spec.wanted.resumption = resumption_;
  spec.wanted.deadline = std::min(clockNow() + job.queueLimit, job.deadline);
  return spec;
}

AnswerRunner::Next AnswerRunner::onRefused(const Refusal& refusal) {
  if (!accepted()) {
    Refusal last = refusal;
    if (dispatched_) last.outcome = RunOutcome::unknown;
    job_->refuse(last);
    return Next::done;
  }
  // An accepted request waits for a place as long as its deadline allows.
  job_->waitForCommand(
      std::clamp(refusal.retryAfter.value_or(kMostPause), kLeastPause, kMostPause));
  return Next::again;
}

Refusal AnswerRunner::lastRefusal(RefusalReason reason, std::string detail) const {
  RunOutcome outcome = RunOutcome::notRun;
  if (dispatched_) outcome = RunOutcome::unknown;
  if (job_->tokenCount() > 0) outcome = RunOutcome::ran;
  return {reason, std::move(detail), outcome, std::nullopt};
}

GenerateRequest AnswerRunner::makeRequest(EnginePort& engine, std::uint64_t epoch) {
  const JobSpec& job = job_->spec();
  GenerateRequest request;
  request.request = job.request.str();
  request.epoch = epoch;
  request.prompt = job.prompt;
  request.maxTokens = job.maxTokens;
  request.tokensSoFar = job_->tokens();
  request.priority = job.priority;
  if (!cache_.empty()) request.cacheHandle = engine.importCache(cache_);
  cache_.clear();
  return request;
}

AnswerRunner::Next AnswerRunner::attempt(ScopedGrant& hold) {
  EngineHttp engine(hold.address(), context_.ownIp,
                    Millis(policyNumber(context_, job_->spec(), PolicyKey::connectLimitMs)));
  const std::uint64_t epoch = job_->beginAttempt(hold.upstream());
  const GenerateRequest request = makeRequest(engine, epoch);
  gap_ = false;
  lastToken_ = Instant{};
  const Millis stall(policyNumber(context_, job_->spec(), PolicyKey::stallLimitMs));
  const StreamResult result = engine.generate(
      request, stall, [&](const EngineEvent& event) { return onEvent(event, hold); });
  return afterStream(hold, engine, epoch, result);
}

bool AnswerRunner::onEvent(const EngineEvent& event, const ScopedGrant& hold) {
  dispatched_ = true;
  std::visit(
      Overloaded{[&](const ComputedWord& word) {
                   // What an earlier attempt had computed already counts as lost.
                   if (resumption_) {
                     context_.metrics.add("hallchute_recomputed_tokens_total", labels(),
                                          word.tokens);
                   }
                 },
                 [&](const LeavingWord& word) {
                   context_.noteLeave({hold.upstream(), word.leavesIn, LeaveSource::upstream});
                 },
                 [&](const AnswerChunk& chunk) {
                   const ChunkResult verdict = job_->accept(chunk);
                   finished_ = verdict == ChunkResult::finished;
                   gap_ = verdict == ChunkResult::gap;
                   if (verdict == ChunkResult::appended) {
                     if (lastToken_ == Instant{}) hold.noteFirstToken();
                     noteToken();
                   }
                   if (verdict == ChunkResult::otherEpoch || verdict == ChunkResult::duplicate) {
                     context_.metrics.add("hallchute_chunks_dropped_total", labels());
                   }
                 }},
      event);
  resumption_ = resumption_ || job_->tokenCount() > 0;
  if (clockNow() >= job_->spec().deadline) return false;
  return !finished_ && !gap_ && job_->command() == JobCommand::none;
}

void AnswerRunner::noteToken() {
  const Instant now = clockNow();
  context_.metrics.add("hallchute_tokens_total", labels());
  if (job_->tokenCount() == 1) {
    context_.metrics.time("hallchute_first_token_ms", labels(), now - job_->spec().accepted);
  } else if (lastToken_ != Instant{}) {
    context_.metrics.time("hallchute_token_gap_ms", labels(), now - lastToken_);
  }
  lastToken_ = now;
}

AnswerRunner::Next AnswerRunner::afterStream(ScopedGrant& hold, EnginePort& engine,
                                             std::uint64_t epoch, const StreamResult& result) {
  if (finished_) {
    hold.end(GrantEnd::finished);
    job_->finish();
    return Next::done;
  }
  if (result.end == StreamEnd::stopped && !gap_) return onOrder(hold, engine, epoch);
  return onFailure(hold, result);
}

AnswerRunner::Next AnswerRunner::onOrder(ScopedGrant& hold, EnginePort& engine,
                                         std::uint64_t epoch) {
  const std::string request = job_->spec().request.str();
  if (job_->command() == JobCommand::move) {
    const Migration migration = job_->takeMove();
    const bool moves = std::holds_alternative<MoveCache>(migration);
    if (moves) cache_ = engine.exportCache(request, epoch);
    if (cache_.empty()) engine.cancel(request, epoch);
    context_.metrics.add("hallchute_moves_total",
                         cache_.empty() ? "way=\"recompute\"" : "way=\"cache\"");
    avoid_.push_back(hold.upstream());
    resumption_ = true;
    logLine(LogLevel::info, "moved away from " + hold.upstream().str());
  } else {
    engine.cancel(request, epoch);
  }
  hold.end(GrantEnd::cancelled);
  return Next::again;
}

AnswerRunner::Next AnswerRunner::onFailure(ScopedGrant& hold, const StreamResult& result) {
  logLine(LogLevel::warning, "attempt at " + hold.upstream().str() + " failed: " + result.detail);
  avoid_.push_back(hold.upstream());
  if (avoid_.size() > kMostAvoided) avoid_.erase(avoid_.begin());
  dispatched_ = dispatched_ || result.end == StreamEnd::broke;
  switch (result.end) {
    case StreamEnd::leaving:
      context_.noteLeave({hold.upstream(), result.leavesIn, LeaveSource::upstream});
      hold.end(GrantEnd::cancelled);
      return Next::again;
    case StreamEnd::connectFailed:
      hold.end(GrantEnd::connectFailed);
      break;
    default:
      hold.end(GrantEnd::broke);
      break;
  }
  context_.metrics.add("hallchute_attempts_failed_total", labels());
  ++failures_;
  if (accepted()) {
    // It is accepted: the budget does not end it, it only slows it down.
    if (!context_.budgets.tryConsumeRetry(job_->spec().service)) job_->waitForCommand(kMostPause);
    return Next::again;
  }
  const bool mayRetry = failures_ < policyNumber(context_, job_->spec(), PolicyKey::maxAttempts) &&
                        context_.budgets.tryConsumeRetry(job_->spec().service);
  if (mayRetry) return Next::again;
  Refusal refusal = lastRefusal(RefusalReason::upstreamFailed, result.detail);
  refusal.retryAfter = kMostPause;
  job_->refuse(std::move(refusal));
  return Next::done;
}

}  // namespace Hallchute
