// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/ObjectFollower.h"

#include <utility>

#include "Hallchute/src/Observability/LogLine.h"

namespace Hallchute {
namespace {

/// Between two tries at a store that doesn't answer: changes must be in force within a few
/// hundred milliseconds of its return.
constexpr Millis kRetryPause{250};
/// Between two tries of a daemon on which no other one counts: calls that fail cost as others do.
constexpr Millis kProbePause{2'000};

std::string_view modeText(FollowMode mode) {
  switch (mode) {
    case FollowMode::off:
      return "off";
    case FollowMode::probing:
      return "probing";
    case FollowMode::following:
      return "following";
  }
  return "unknown";
}

std::string_view view(absl::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

ObjectFollower::ObjectFollower(std::string name, ObjectSource& source, FollowPace pace,
                               Callbacks callbacks)
    : name_(std::move(name)), source_(source), pace_(pace), callbacks_(std::move(callbacks)) {}

ObjectFollower::~ObjectFollower() {
  stop();
}

void ObjectFollower::start() {
  thread_ = std::thread([this] { run(); });
}

void ObjectFollower::stop() {
  {
    // Under the lock: a thread that is about to rest must not miss it.
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void ObjectFollower::pause(Millis time) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, time, [this] { return stopping_.load(); });
}

void ObjectFollower::rest() {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [this] { return stopping_ || mode_ != FollowMode::off; });
}

void ObjectFollower::setMode(FollowMode mode) {
  const FollowMode before = mode_.exchange(mode);
  if (before == mode) return;
  LogLine(LogLevel::info, "store.mode")
      .with("follows", name_)
      .with("before", modeText(before))
      .with("mode", modeText(mode));
  // What was known before the rest may be older than the store's history.
  if (before == FollowMode::off) refresh_ = true;
  if (mode == FollowMode::off) {
    reachable_ = false;
    current_ = false;
  }
  const std::lock_guard lock(mutex_);
  wake_.notify_all();
}

void ObjectFollower::run() {
  while (!stopping_) {
    if (mode_ == FollowMode::off) {
      rest();
      continue;
    }
    if (refresh_.exchange(false)) listed_ = false;
    if (!ask()) pause(mode_ == FollowMode::following ? kRetryPause : kProbePause);
  }
}

bool ObjectFollower::ask() {
  if (starting_) return listFirst();
  return listed_ ? watchOnce() : listAll();
}

void ObjectFollower::noteContact(bool reachable, const absl::Status& status) {
  if (mode_ == FollowMode::off || reachable_.exchange(reachable) == reachable) return;
  LogLine(reachable ? LogLevel::info : LogLevel::warning,
          reachable ? "store.regained" : "store.lost")
      .with("follows", name_)
      .with("asOf", asOf_)
      .with("detail", view(status.message()));
  if (!reachable) wasLost_ = true;
  if (reachable && std::exchange(wasLost_, false)) callbacks_.onReturn();
}

bool ObjectFollower::listAll() {
  const bool answered = takeList(source_.list(ReadAge::newest));
  if (answered && mode_ != FollowMode::off) current_ = true;
  return answered;
}

bool ObjectFollower::listFirst() {
  if (!takeList(source_.list(ReadAge::maybeOld))) return false;
  starting_ = false;
  pause(pace_.startPause);
  return true;
}

bool ObjectFollower::takeList(absl::StatusOr<SourceBatch> batch) {
  noteContact(batch.ok(), batch.status());
  if (!batch.ok()) return false;
  objects_.clear();
  asOf_ = batch->asOf;
  listed_ = true;
  for (SourceObject& object : batch->objects) objects_[object.name] = std::move(object);
  callbacks_.onChange(objects_, asOf_);
  return true;
}

bool ObjectFollower::watchOnce() {
  const absl::StatusOr<SourceBatch> batch = source_.watch(asOf_, pace_.watchWait);
  if (batch.ok()) {
    noteContact(true, batch.status());
    apply(*batch);
    if (mode_ != FollowMode::off) current_ = true;
    if (!batch->objects.empty()) pause(pace_.gather);
    return true;
  }
  listed_ = false;
  // A gap in the history is an answer; so is a watch that was cut: the list tells what is true.
  const bool gap = absl::IsOutOfRange(batch.status());
  LogLine(LogLevel::info, "store.watchEnded")
      .with("follows", name_)
      .with("asOf", asOf_)
      .with("detail", view(batch.status().message()));
  if (gap) return true;
  return listAll();
}

void ObjectFollower::apply(const SourceBatch& batch) {
  asOf_ = batch.asOf;
  if (batch.objects.empty()) return;
  for (const SourceObject& object : batch.objects) {
    if (object.deleted) {
      objects_.erase(object.name);
    } else {
      objects_[object.name] = object;
    }
  }
  callbacks_.onChange(objects_, asOf_);
}

}  // namespace Hallchute
