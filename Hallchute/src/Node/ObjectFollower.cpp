// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/ObjectFollower.h"

#include <algorithm>
#include <utility>

#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/ExceptionText.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/ThreadName.h"

namespace Hallchute {
namespace {

/// Delay before retrying a store that doesn't respond: changes must be applied within a few hundred
/// milliseconds of its recovery.
constexpr Millis kRetryDelay{250};
/// Delay before retrying where no other daemon relies on this one: failed calls are billed too.
constexpr Millis kProbeInterval{2'000};

/// Bounds of a watch's timeout. It also stays below the contact bound, within which a lost
/// connection must be noticed and a new list read, by the time that the answer and the list may
/// take.
constexpr Millis kMinWatchTimeout{500};
constexpr Millis kMaxWatchTimeout{3'000};
constexpr Millis kWatchMargin{800};

/// Time between two log lines on a store that stays unavailable.
constexpr Millis kFailureLogInterval{30'000};

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

Millis watchTimeout(Millis contact) {
  return std::clamp(contact - kWatchMargin, kMinWatchTimeout, kMaxWatchTimeout);
}

ObjectFollower::ObjectFollower(std::string name, ObjectSource& source, FollowTiming timing,
                               Callbacks callbacks)
    : name_(std::move(name)), source_(source), timing_(timing), callbacks_(std::move(callbacks)) {}

ObjectFollower::~ObjectFollower() {
  stop();
}

void ObjectFollower::start() {
  thread_ = std::thread([this] { run(); });
}

void ObjectFollower::stop() {
  {
    // Set under the lock, so that a thread about to wait doesn't miss it.
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void ObjectFollower::waitFor(Millis time) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, time, [this] { return stopping_.load(); });
}

void ObjectFollower::waitWhileOff() {
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
  // The copy's revision may have left the store's history while the mode was off.
  if (before == FollowMode::off) refresh_ = true;
  if (mode == FollowMode::off) {
    reachable_ = false;
    current_ = false;
  }
  const std::lock_guard lock(mutex_);
  wake_.notify_all();
}

void ObjectFollower::run() {
  nameThread(name_);
  while (!stopping_) {
    if (mode_ == FollowMode::off) {
      waitWhileOff();
      continue;
    }
    if (refresh_.exchange(false)) listed_ = false;
    if (!callStoreOrLog()) waitFor(mode_ == FollowMode::following ? kRetryDelay : kProbeInterval);
  }
}

bool ObjectFollower::callStoreOrLog() {
  try {
    return callStore();
  } catch (const std::exception& e) {
    handleException(e);
    return false;
  }
}

/// The copy may lack a part of a batch, or onChange() may not have seen all of it: a new list
/// replaces it, and until then the copy doesn't count as current.
void ObjectFollower::handleException(const std::exception& exception) {
  listed_ = false;
  current_ = false;
  const std::string text = exceptionText(exception);
  callbacks_.onFailedCall(absl::InternalError(text));
  const Instant now = clockNow();
  if (exceptionLogged_ && now - *exceptionLogged_ < kFailureLogInterval) return;
  exceptionLogged_ = now;
  LogLine(LogLevel::error, "store.exception")
      .with("follows", name_)
      .with("asOf", asOf_)
      .with("detail", text);
}

bool ObjectFollower::callStore() {
  if (initialListPending_) return listInitial();
  if (!listed_) return listNewest();
  const Instant began = clockNow();
  const std::uint64_t before = asOf_;
  const bool answered = watchOnce();
  paceWatches(clockNow() - began, asOf_ != before);
  return answered;
}

/// A store that ends each watch at once would be called without a pause. The first such end is not
/// delayed: a gap in the history or a cut connection is followed by a list at once.
void ObjectFollower::paceWatches(Instant::duration took, bool changed) {
  const auto tookMs = std::chrono::duration_cast<Millis>(took);
  if (changed || tookMs >= kRetryDelay) {
    endedAtOnce_ = false;
    return;
  }
  if (std::exchange(endedAtOnce_, true)) waitFor(kRetryDelay - tookMs);
}

void ObjectFollower::updateReachability(bool reachable, const absl::Status& status) {
  if (!reachable) {
    callbacks_.onFailedCall(status);
    if (mode_ != FollowMode::off) logFailure(status);
  } else {
    failedCalls_ = 0;
  }
  if (mode_ == FollowMode::off || reachable_.exchange(reachable) == reachable) return;
  if (!reachable) {
    outageSeen_ = true;
    return;
  }
  LogLine(LogLevel::info, "store.regained").with("follows", name_).with("asOf", asOf_);
  if (std::exchange(outageSeen_, false)) callbacks_.onRecovery();
}

void ObjectFollower::logFailure(const absl::Status& status) {
  const Instant now = clockNow();
  const bool first = failedCalls_++ == 0;
  if (first) firstFailure_ = now;
  if (!first && now - failureLogged_ < kFailureLogInterval) return;
  failureLogged_ = now;
  LogLine(LogLevel::warning, first ? "store.lost" : "store.stillLost")
      .with("follows", name_)
      .with("asOf", asOf_)
      .with("failedCalls", failedCalls_)
      .with("forMs", std::chrono::duration_cast<Millis>(now - firstFailure_))
      .with("detail", view(status.message()));
}

bool ObjectFollower::listNewest() {
  const bool answered = applyList(source_.list(ReadConsistency::latest));
  if (answered && mode_ != FollowMode::off) current_ = true;
  return answered;
}

bool ObjectFollower::listInitial() {
  if (!applyList(source_.list(ReadConsistency::possiblyStale))) return false;
  initialListPending_ = false;
  waitFor(timing_.initialWatchDelay);
  return true;
}

bool ObjectFollower::applyList(absl::StatusOr<SourceBatch> batch) {
  updateReachability(batch.ok(), batch.status());
  if (!batch.ok()) return false;
  objects_.clear();
  asOf_ = batch->asOf;
  listed_ = true;
  for (SourceObject& object : batch->objects) objects_[object.name] = std::move(object);
  callbacks_.onChange(objects_, asOf_);
  return true;
}

bool ObjectFollower::watchOnce() {
  const absl::StatusOr<SourceBatch> batch = source_.watch(asOf_, timing_.watchTimeout);
  if (batch.ok()) {
    updateReachability(true, batch.status());
    apply(*batch);
    if (mode_ != FollowMode::off) current_ = true;
    if (!batch->objects.empty()) waitFor(timing_.batchDelay);
    return true;
  }
  listed_ = false;
  // A gap in the history is a response of the store. After any other failure a list shows whether
  // the store can be reached.
  const bool gap = absl::IsOutOfRange(batch.status());
  if (!gap) callbacks_.onFailedCall(batch.status());
  LogLine(LogLevel::info, "store.watchEnded")
      .with("follows", name_)
      .with("asOf", asOf_)
      .with("detail", view(batch.status().message()));
  if (gap) return true;
  return listNewest();
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
