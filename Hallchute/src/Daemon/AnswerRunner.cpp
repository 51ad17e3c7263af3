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

constexpr Millis kMinRetryDelay{50};
constexpr Millis kMaxRetryDelay{1'000};
constexpr double kPercent = 100;
constexpr std::size_t kMaxExcludedUpstreams = 8;

std::int64_t policyValue(const TrafficContext& context, const JobSpec& spec, PolicyKey key) {
  const PolicyScope scope{context.domain, spec.service, spec.organisation};
  return context.settings.get()->tree.policy(key, scope);
}

}  // namespace

AnswerRunner::AnswerRunner(TrafficContext& context, std::shared_ptr<Job> job)
    : context_(context), job_(std::move(job)) {}

std::string AnswerRunner::metricLabels() const {
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
      static_cast<double>(policyValue(context_, job_->spec(), PolicyKey::retryBudgetPercent)) /
      kPercent;
  context_.budgets.recordFirstAttempt(job_->spec().service, ratio);
  dispatched_ = job_->mayHaveRun();
  resumption_ = job_->tokenCount() > 0;
  while (step() == Next::proceed) {
  }
}

AnswerRunner::Next AnswerRunner::step() {
  if (job_->command() == JobCommand::cancel) {
    job_->refuse(makeRefusal(RefusalReason::badRequest, "cancelled by its caller"));
    return Next::done;
  }
  if (job_->command() == JobCommand::pause) {
    job_->markPaused();
    return Next::done;
  }
  if (job_->command() == JobCommand::move) job_->takeMove();
  if (clockNow() >= job_->spec().deadline) {
    job_->refuse(makeRefusal(RefusalReason::upstreamFailed, "requestLimitMs has passed"));
    return Next::done;
  }
  GrantOutcome outcome = context_.acquire(makeGrantSpec());
  if (const auto* refusal = std::get_if<Refusal>(&outcome)) return onGrantRefused(*refusal);
  return runAttempt(*std::get<std::unique_ptr<ScopedGrant>>(outcome));
}

GrantSpec AnswerRunner::makeGrantSpec() const {
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
  spec.wanted.failedUpstreams = excluded_;
  spec.wanted.resumption = resumption_;
  spec.wanted.deadline = std::min(clockNow() + job.queueLimit, job.deadline);
  return spec;
}

AnswerRunner::Next AnswerRunner::onGrantRefused(const Refusal& refusal) {
  if (!accepted()) {
    Refusal last = refusal;
    if (dispatched_) last.outcome = RunOutcome::unknown;
    job_->refuse(last);
    return Next::done;
  }
  // An accepted request waits for a grant until its deadline.
  job_->waitForCommand(
      std::clamp(refusal.retryAfter.value_or(kMaxRetryDelay), kMinRetryDelay, kMaxRetryDelay));
  return Next::proceed;
}

Refusal AnswerRunner::makeRefusal(RefusalReason reason, std::string detail) const {
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
  if (!exportedCache_.empty()) request.cacheHandle = engine.importCache(exportedCache_);
  exportedCache_.clear();
  return request;
}

AnswerRunner::Next AnswerRunner::runAttempt(ScopedGrant& grant) {
  EngineHttp engine(grant.address(), context_.ownIp,
                    Millis(policyValue(context_, job_->spec(), PolicyKey::connectLimitMs)));
  const std::uint64_t epoch = job_->beginAttempt(grant.upstream());
  const GenerateRequest request = makeRequest(engine, epoch);
  offsetGap_ = false;
  lastTokenAt_ = Instant{};
  const Millis stallLimit(policyValue(context_, job_->spec(), PolicyKey::stallLimitMs));
  const StreamResult result = engine.generate(
      request, stallLimit, [&](const EngineEvent& event) { return onEvent(event, grant); });
  return afterStream(grant, engine, epoch, result);
}

bool AnswerRunner::onEvent(const EngineEvent& event, const ScopedGrant& grant) {
  dispatched_ = true;
  std::visit(
      Overloaded{[&](const ComputedTokens& computed) {
                   // Tokens that an earlier attempt had already computed are lost work.
                   if (resumption_) {
                     context_.metrics.add("hallchute_recomputed_tokens_total", metricLabels(),
                                          computed.tokens);
                   }
                 },
                 [&](const LeaveNotice& leave) {
                   context_.noteLeave({grant.upstream(), leave.leavesIn, LeaveSource::upstream});
                 },
                 [&](const AnswerChunk& chunk) {
                   const ChunkResult chunkResult = job_->accept(chunk);
                   finished_ = chunkResult == ChunkResult::finished;
                   offsetGap_ = chunkResult == ChunkResult::gap;
                   if (chunkResult == ChunkResult::appended) {
                     if (lastTokenAt_ == Instant{}) grant.noteFirstToken();
                     recordTokenMetrics();
                   }
                   if (chunkResult == ChunkResult::otherEpoch ||
                       chunkResult == ChunkResult::duplicate) {
                     context_.metrics.add("hallchute_chunks_dropped_total", metricLabels());
                   }
                 }},
      event);
  resumption_ = resumption_ || job_->tokenCount() > 0;
  if (clockNow() >= job_->spec().deadline) return false;
  return !finished_ && !offsetGap_ && job_->command() == JobCommand::none;
}

void AnswerRunner::recordTokenMetrics() {
  const Instant now = clockNow();
  context_.metrics.add("hallchute_tokens_total", metricLabels());
  if (job_->tokenCount() == 1) {
    context_.metrics.time("hallchute_first_token_ms", metricLabels(), now - job_->spec().accepted);
  } else if (lastTokenAt_ != Instant{}) {
    context_.metrics.time("hallchute_token_gap_ms", metricLabels(), now - lastTokenAt_);
  }
  lastTokenAt_ = now;
}

AnswerRunner::Next AnswerRunner::afterStream(ScopedGrant& grant, EnginePort& engine,
                                             std::uint64_t epoch, const StreamResult& result) {
  if (finished_) {
    grant.end(GrantEnd::finished);
    job_->finish();
    return Next::done;
  }
  if (result.end == StreamEnd::stopped && !offsetGap_) return onOrder(grant, engine, epoch);
  return onFailure(grant, result);
}

AnswerRunner::Next AnswerRunner::onOrder(ScopedGrant& grant, EnginePort& engine,
                                         std::uint64_t epoch) {
  const std::string request = job_->spec().request.str();
  if (job_->command() == JobCommand::move) {
    const Migration migration = job_->takeMove();
    const bool transfersCache = std::holds_alternative<MoveCache>(migration);
    if (transfersCache) exportedCache_ = engine.exportCache(request, epoch);
    if (exportedCache_.empty()) engine.cancel(request, epoch);
    context_.metrics.add("hallchute_moves_total",
                         exportedCache_.empty() ? "way=\"recompute\"" : "way=\"cache\"");
    excluded_.push_back(grant.upstream());
    resumption_ = true;
    logMessage(LogLevel::info, "migrated away from upstream " + grant.upstream().str());
  } else {
    engine.cancel(request, epoch);
  }
  grant.end(GrantEnd::cancelled);
  return Next::proceed;
}

AnswerRunner::Next AnswerRunner::onFailure(ScopedGrant& grant, const StreamResult& result) {
  logMessage(LogLevel::warning,
             "attempt at upstream " + grant.upstream().str() + " failed: " + result.detail);
  excluded_.push_back(grant.upstream());
  if (excluded_.size() > kMaxExcludedUpstreams) excluded_.erase(excluded_.begin());
  dispatched_ = dispatched_ || result.end == StreamEnd::broke || result.end == StreamEnd::refused;
  switch (result.end) {
    case StreamEnd::leaving:
      context_.noteLeave({grant.upstream(), result.leavesIn, LeaveSource::upstream});
      grant.end(GrantEnd::cancelled);
      return Next::proceed;
    case StreamEnd::connectFailed:
      grant.end(GrantEnd::connectFailed);
      break;
    default:
      grant.end(GrantEnd::broke);
      break;
  }
  context_.metrics.add("hallchute_attempts_failed_total", metricLabels());
  ++failureCount_;
  if (accepted()) {
    // An exhausted retry budget delays an accepted request but does not end it.
    if (!context_.budgets.tryConsumeRetry(job_->spec().service))
      job_->waitForCommand(kMaxRetryDelay);
    return Next::proceed;
  }
  const bool mayRetry =
      failureCount_ < policyValue(context_, job_->spec(), PolicyKey::maxAttempts) &&
      context_.budgets.tryConsumeRetry(job_->spec().service);
  if (mayRetry) return Next::proceed;
  Refusal refusal = makeRefusal(RefusalReason::upstreamFailed, result.detail);
  refusal.retryAfter = kMaxRetryDelay;
  job_->refuse(std::move(refusal));
  return Next::done;
}

}  // namespace Hallchute
