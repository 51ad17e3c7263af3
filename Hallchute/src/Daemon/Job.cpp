// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/Job.h"

#include "Hallchute/src/Net/Clock.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// Weight of a recomputed token in the migration plan: recomputation makes the caller wait, which
/// counts more for durable requests.
double migrationWeight(const JobSpec& spec) {
  return spec.durable ? 2.0 : 1.0;
}

}  // namespace

Job::Job(JobSpec spec) : spec_(std::move(spec)), detachedAt_(clockNow()) {}

Job::Job(JobSpec spec, std::uint64_t epoch, std::vector<std::string> tokens)
    : spec_(std::move(spec)), startedElsewhere_(true), detachedAt_(clockNow()) {
  answer_.restore(epoch, std::move(tokens));
}

void Job::notify() {
  std::vector<std::function<void()>> listeners;
  {
    const std::lock_guard lock(mutex_);
    listeners = listeners_;
  }
  stateChanged_.notify_all();
  for (const auto& listener : listeners) listener();
}

bool Job::ended() const {
  return stage_ == JobStage::finished || stage_ == JobStage::refused ||
         stage_ == JobStage::handedOver;
}

/// The record of an orphan may be older than its first attempt.
bool Job::mayHaveRun() const {
  const std::lock_guard lock(mutex_);
  return startedElsewhere_ || answer_.epoch() > 0;
}

std::uint64_t Job::beginAttempt(const UpstreamId& upstream) {
  const std::lock_guard lock(mutex_);
  stage_ = JobStage::running;
  upstream_ = upstream;
  tokensAtAttemptStart_ = answer_.tokens().size();
  attemptStartedAt_ = clockNow();
  return answer_.beginAttempt();
}

ChunkResult Job::accept(const AnswerChunk& chunk) {
  ChunkResult result;
  {
    const std::lock_guard lock(mutex_);
    result = answer_.accept(chunk);
  }
  if (result == ChunkResult::appended) notify();
  return result;
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
  stateChanged_.wait_for(lock, time, [&] { return command_ != JobCommand::none; });
  return command_;
}

Migration Job::takeMove() {
  const std::lock_guard lock(mutex_);
  if (command_ == JobCommand::move) command_ = JobCommand::none;
  // The job no longer runs at this upstream; without an upstream it gets no second `move` command
  // for the same leave.
  upstream_ = UpstreamId();
  return migration_;
}

void Job::markPaused() {
  {
    const std::lock_guard lock(mutex_);
    paused_ = true;
    upstream_ = UpstreamId();
  }
  stateChanged_.notify_all();
}

void Job::setCommand(JobCommand newCommand) {
  {
    const std::lock_guard lock(mutex_);
    if (ended() || command_ == JobCommand::cancel) return;
    command_ = newCommand;
  }
  stateChanged_.notify_all();
}

void Job::requestMove(const Migration& migration) {
  {
    const std::lock_guard lock(mutex_);
    if (command_ != JobCommand::none) return;
    migration_ = migration;
  }
  setCommand(JobCommand::move);
}

void Job::requestPause() {
  setCommand(JobCommand::pause);
}

void Job::requestCancel() {
  setCommand(JobCommand::cancel);
}

bool Job::waitUntilPaused(Millis limit) {
  std::unique_lock lock(mutex_);
  stateChanged_.wait_for(lock, limit, [&] { return paused_ || ended(); });
  return paused_ && !ended();
}

void Job::resume() {
  const std::lock_guard lock(mutex_);
  paused_ = false;
  if (command_ == JobCommand::pause) command_ = JobCommand::none;
}

void Job::markHandedOver(const DaemonId& peer) {
  {
    const std::lock_guard lock(mutex_);
    stage_ = JobStage::handedOver;
    handedOverTo_ = peer;
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

std::optional<DaemonId> Job::handedOverTo() const {
  const std::lock_guard lock(mutex_);
  return handedOverTo_;
}

RunningStream Job::migrationInput(Instant now) const {
  const std::lock_guard lock(mutex_);
  RunningStream stream;
  const std::size_t produced = answer_.tokens().size();
  stream.contextTokens = spec_.promptTokens + produced;
  stream.remainingTokens = spec_.maxTokens - std::min(produced, spec_.maxTokens);
  const std::chrono::duration<double> elapsed = now - attemptStartedAt_;
  if (elapsed.count() > 0) {
    stream.tokensPerSecond =
        static_cast<double>(produced - tokensAtAttemptStart_) / elapsed.count();
  }
  stream.weight = migrationWeight(spec_);
  return stream;
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
  stateChanged_.wait_for(lock, wait, [&] { return answer_.tokens().size() > offset || ended(); });
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
