// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_OBJECTFOLLOWER_H
#define HALLCHUTE_NODE_OBJECTFOLLOWER_H

#include <atomic>
#include <condition_variable>
#include <exception>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/StoreFreshness.h"
#include "Hallchute/src/Ports/ObjectSource.h"

namespace Hallchute {

/// \brief Timing of a follower's calls to the store, each of which is billed. \ingroup Node
struct FollowTiming {
  /// How long a watch may return nothing, which is also how long a lost connection can go
  /// unnoticed.
  Millis watchTimeout{3'000};
  /// Delay between a change and the next watch, which then returns further changes together.
  Millis batchDelay{0};
  /// Delay between the initial list and the first watch.
  Millis initialWatchDelay{0};
};

/// \brief How long a watch may return nothing, in a deployment with this contact bound.
/// \ingroup Node
Millis watchTimeout(Millis contact);

/// \brief Maintains a copy of the objects of one kind by listing them once and watching for
/// changes. \ingroup Node
///
/// Runs on its own thread, which other threads can suspend. A watch that is interrupted, or whose
/// revision has left the store's history, is followed by a new list at once; a store that doesn't
/// respond is retried after a short delay. The initial list may be stale: all daemons of a fleet
/// start together, and those that watch receive newer changes. By the time of the first watch the
/// mode of the others has been set to off.
class ObjectFollower {
 public:
  using Objects = std::map<std::string, SourceObject>;
  struct Callbacks {
    /// Called on the follower's thread after each change, with all objects and the store's revision
    /// up to which they are complete.
    std::function<void(const Objects&, std::uint64_t asOf)> onChange;
    /// Called when the store responds again after a failure, before onChange().
    std::function<void()> onRecovery;
    /// Called on the follower's thread for each call that the store didn't answer, or not readably;
    /// with `Internal` if a call or a callback threw an exception.
    std::function<void(const absl::Status&)> onFailedCall = [](const absl::Status&) {};
  };

  /// \param name the kind of objects in log lines.
  ObjectFollower(std::string name, ObjectSource& source, FollowTiming timing, Callbacks callbacks);
  ~ObjectFollower();
  ObjectFollower(const ObjectFollower&) = delete;
  ObjectFollower& operator=(const ObjectFollower&) = delete;

  void start();
  void stop();
  /// \brief Selects watching, occasional probing or no calls. Initially it watches. Any thread.
  void setMode(FollowMode mode);
  /// \brief Whether the mode isn't off, the last call to the store succeeded, and the copy is newer
  /// than a possibly stale initial list. Any thread.
  bool inContact() const { return reachable_ && current_; }
  /// \brief Requests a new list after the pending call, as the store may be ahead of this copy.
  void refresh() { refresh_ = true; }

 private:
  void run();
  /// Waits if the store has ended two watches in a row at once and without changes.
  void paceWatches(Instant::duration took, bool changed);
  /// Like callStore(), but an exception ends only this call.
  bool callStoreOrLog();
  void handleException(const std::exception& exception);
  /// Makes the next call to the store. Like the functions that it calls, \returns whether the store
  /// responded.
  bool callStore();
  bool listNewest();
  bool listInitial();
  bool applyList(absl::StatusOr<SourceBatch> batch);
  bool watchOnce();
  void apply(const SourceBatch& batch);
  void updateReachability(bool reachable, const absl::Status& status);
  /// Logs the first failure since the start or the last contact, and then one in a while.
  void logFailure(const absl::Status& status);
  void waitFor(Millis time);
  void waitWhileOff();

  std::string name_;
  ObjectSource& source_;
  FollowTiming timing_;
  Callbacks callbacks_;
  Objects objects_;
  std::uint64_t asOf_ = 0;
  bool listed_ = false;
  /// The initial list has not succeeded yet.
  bool initialListPending_ = true;
  bool outageSeen_ = false;
  /// Failed calls since the start or the last contact.
  std::uint64_t failedCalls_ = 0;
  Instant firstFailure_{};
  Instant failureLogged_{};
  /// Whether the last watch ended at once and without changes.
  bool endedAtOnce_ = false;
  std::optional<Instant> exceptionLogged_;
  std::atomic<bool> reachable_{false};
  /// An up-to-date list or a watch has succeeded since the start, or since the mode was last off.
  std::atomic<bool> current_{false};
  std::atomic<FollowMode> mode_{FollowMode::following};
  std::atomic<bool> refresh_{false};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable wake_;
  std::thread thread_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_OBJECTFOLLOWER_H
