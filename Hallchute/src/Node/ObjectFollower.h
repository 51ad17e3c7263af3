// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_OBJECTFOLLOWER_H
#define HALLCHUTE_NODE_OBJECTFOLLOWER_H

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/StoreFreshness.h"
#include "Hallchute/src/Ports/ObjectSource.h"

namespace Hallchute {

/// \brief How often a follower calls the store: calls are paid for. \ingroup Node
struct FollowPace {
  /// How long a watch may stay silent: what a lost path can hide for.
  Millis watchWait{3'000};
  /// How long changes are gathered after one before the next watch.
  Millis gather{0};
  /// Between the first list and the first watch.
  Millis startPause{0};
};

/// \brief Keeps a copy of the objects of one kind, by listing once and watching on.
/// \ingroup Node
///
/// A thread of its own, which others may send to rest. A watch that is cut, or whose history is
/// gone, leads to a new list at once; a store that doesn't answer is asked again after a short
/// pause. The first list may be old: all daemons of a fleet start together, and those that go on
/// watching hear what is newer; by the time of the first watch the others know that they rest.
class ObjectFollower {
 public:
  using Objects = std::map<std::string, SourceObject>;
  struct Callbacks {
    /// Called with all objects after each change and the store's revision they are complete to,
    /// from the follower's thread.
    std::function<void(const Objects&, std::uint64_t asOf)> onChange;
    /// The store answers again after it did not; comes before the first change after that.
    std::function<void()> onReturn;
  };

  /// \param name for log lines.
  ObjectFollower(std::string name, ObjectSource& source, FollowPace pace, Callbacks callbacks);
  ~ObjectFollower();
  ObjectFollower(const ObjectFollower&) = delete;
  ObjectFollower& operator=(const ObjectFollower&) = delete;

  void start();
  void stop();
  /// \brief Whether it watches, asks now and then, or rests. It starts by watching. Any thread.
  void setMode(FollowMode mode);
  /// \brief Whether it doesn't rest, the store answered last time, and the copy is not just an old
  /// first list. Any thread.
  bool inContact() const { return reachable_ && current_; }
  /// \brief The store may be ahead of this copy: it is listed as soon as the pending call ends.
  void refresh() { refresh_ = true; }

 private:
  void run();
  /// One call of the store. \returns whether it answered, as all that it uses do.
  bool ask();
  bool listAll();
  bool listFirst();
  bool takeList(absl::StatusOr<SourceBatch> batch);
  bool watchOnce();
  void apply(const SourceBatch& batch);
  void noteContact(bool reachable, const absl::Status& status);
  void pause(Millis time);
  /// Waits while the mode is off.
  void rest();

  std::string name_;
  ObjectSource& source_;
  FollowPace pace_;
  Callbacks callbacks_;
  Objects objects_;
  std::uint64_t asOf_ = 0;
  bool listed_ = false;
  /// Nothing was listed yet.
  bool starting_ = true;
  bool wasLost_ = false;
  std::atomic<bool> reachable_{false};
  /// A list of the newest, or a watch, was answered since it began or rested.
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
