// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/Job.h"

#include "Hallchute/src/Net/Clock.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// Classes above the middle weigh more: their recomputed tokens cost their callers' patience.
double weightOf(const JobSpec& spec) {
  return spec.durable ? 2.0 : 1.0;
}

}  // namespace

Job::Job(JobSpec spec) : spec_(std::move(spec)), detachedAt_(clockNow()) {}

Job::Job(JobSpec spec, std::uint64_t epoch, std::vector<std::string> tokens)
    : spec_(std::move(spec)), detachedAt_(clockNow()) {
  answer_.restore(epoch, std::move(tokens));
}

void Job::notify() {
  std::vector<std::function<void()>> listeners;
  {
    const std::lock_guard lock(mutex_);
    listeners = listeners_;
  }
  changed_.notify_all();
  for (const auto& listener : listeners) listener();
}

bool Job::ended() const {
  return stage_ == JobStage::finished || stage_ == JobStage::refused ||
         stage_ == JobStage::handedOver;
}

std::uint64_t Job::beginAttempt(const UpstreamId& upstream) {
  const std::lock_guard lock(mutex_);
  stage_ = JobStage::running;
  upstream_ = upstream;
  tokensAtAttempt_ = answer_.tokens().size();
  attemptSince_ = clockNow();
  return answer_.beginAttempt();
}

ChunkResult Job::accept(const AnswerChunk& chunk) {
  ChunkResult verdict;
  {
    const std::lock_guard lock(mutex_);
    verdict = answer_.accept(chunk);
  }
  if (verdict == ChunkResult::appended) notify();
  return verdict;
}

void Job::mirror(const std::vector<std::string>& tokens) {
  {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> all = answer_.tokens();
    all.insert(all.end(), tokens.begin(), tokens.end());
    answer_.restore(answer_.epoch(), std::move(all));
    stage_ = JobStage::running;
  }
  notify();
}

std::vector<std::string> Job::tokens() const {
  const std::lock_guard lock(mutex_);
  return answer_.tokens();
}

std::size_t Job::tokenCount() const {
  const std::lock_guard lock(mutex_);
  return answer_.tokens().size();
}

void Job::finish() {
  {
    const std::lock_guard lock(mutex_);
    stage_ = JobStage::finished;
    upstream_ = UpstreamId();
    endedAt_ = clockNow();
  }
  notify();
}

void Job::refuse(Refusal refusal) {
  {
    const std::lock_guard lock(mutex_);
    stage_ = JobStage::refused;
    upstream_ = UpstreamId();
    refusal_ = std::move(refusal);
    endedAt_ = clockNow();
  }
  notify();
}

JobCommand Job::waitForCommand(Millis time) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, time, [&] { return orderNow_ != JobCommand::none; });
  return orderNow_;
}

Migration Job::takeMove() {
  const std::lock_guard lock(mutex_);
  if (orderNow_ == JobCommand::move) orderNow_ = JobCommand::none;
  // It has left: it must not be ordered away from there once more.
  upstream_ = UpstreamId();
  return migration_;
}

void Job::markPaused() {
  {
    const std::lock_guard lock(mutex_);
    paused_ = true;
    upstream_ = UpstreamId();
  }
  changed_.notify_all();
}

void Job::setOrder(JobCommand command) {
  {
    const std::lock_guard lock(mutex_);
    if (ended() || orderNow_ == JobCommand::cancel) return;
    orderNow_ = command;
  }
  changed_.notify_all();
}

void Job::requestMove(const Migration& migration) {
  {
    const std::lock_guard lock(mutex_);
    if (orderNow_ != JobCommand::none) return;
    migration_ = migration;
  }
  setOrder(JobCommand::move);
}

void Job::requestPause() {
  setOrder(JobCommand::pause);
}

void Job::requestCancel() {
  setOrder(JobCommand::cancel);
}

bool Job::waitUntilPaused(Millis limit) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, limit, [&] { return paused_ || ended(); });
  return paused_ && !ended();
}

void Job::resume() {
  const std::lock_guard lock(mutex_);
  paused_ = false;
  if (orderNow_ == JobCommand::pause) orderNow_ = JobCommand::none;
}

void Job::markHandedOver(const DaemonId& peer) {
  {
    const std::lock_guard lock(mutex_);
    stage_ = JobStage::handedOver;
    handedTo_ = peer;
    endedAt_ = clockNow();
  }
  notify();
}

UpstreamId Job::upstream() const {
  const std::lock_guard lock(mutex_);
  return upstream_;
}

JobStage Job::stage() const {
  const std::lock_guard lock(mutex_);
  return stage_;
}

std::optional<DaemonId> Job::handedTo() const {
  const std::lock_guard lock(mutex_);
  return handedTo_;
}

RunningStream Job::migrationInput(Instant now) const {
  const std::lock_guard lock(mutex_);
  RunningStream facts;
  const std::size_t produced = answer_.tokens().size();
  facts.contextTokens = spec_.promptTokens + produced;
  facts.remainingTokens = spec_.maxTokens - std::min(produced, spec_.maxTokens);
  const std::chrono::duration<double> ran = now - attemptSince_;
  if (ran.count() > 0) {
    facts.tokensPerSecond = static_cast<double>(produced - tokensAtAttempt_) / ran.count();
  }
  facts.weight = weightOf(spec_);
  return facts;
}

HandOverRecord Job::record(const DaemonId& holder, std::uint64_t generation) const {
  const std::lock_guard lock(mutex_);
  HandOverRecord record;
  record.request = spec_.request;
  record.holder = holder;
  record.generation = generation;
  record.epoch = answer_.epoch();
  record.state = JobState::running;
  if (stage_ == JobStage::finished) record.state = JobState::finished;
  if (stage_ == JobStage::refused) record.state = JobState::refused;
  record.organisation = spec_.organisation;
  record.service = spec_.service;
  record.workClass = spec_.workClass;
  record.prompt = spec_.prompt;
  record.chat = spec_.chat;
  record.maxTokens = spec_.maxTokens;
  record.tokens = answer_.tokens();
  if (refusal_) record.detail = refusal_->detail;
  return record;
}

JobView Job::view(std::size_t offset, Millis wait) const {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait, [&] { return answer_.tokens().size() > offset || ended(); });
  JobView view;
  view.stage = stage_;
  view.refusal = refusal_;
  const auto& tokens = answer_.tokens();
  if (tokens.size() > offset) {
    view.tokens.assign(tokens.begin() + static_cast<std::ptrdiff_t>(offset), tokens.end());
  }
  return view;
}

void Job::addListener(std::function<void()> listener) {
  const std::lock_guard lock(mutex_);
  listeners_.push_back(std::move(listener));
}

void Job::detach(Instant now) {
  const std::lock_guard lock(mutex_);
  detachedAt_ = now;
  --readers_;
}

bool Job::abandonedFor(Millis limit, Instant now) const {
  const std::lock_guard lock(mutex_);
  return readers_ == 0 && !ended() && now - detachedAt_ >= limit;
}

Instant Job::endedAt() const {
  const std::lock_guard lock(mutex_);
  return endedAt_;
}

}  // namespace Hallchute
