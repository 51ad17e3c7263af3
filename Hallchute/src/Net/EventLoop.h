// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_EVENTLOOP_H
#define HALLCHUTE_NET_EVENTLOOP_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief A single-threaded loop over sockets, timers and posted tasks.
/// \ingroup Net
///
/// State that is used only on the loop's thread needs no lock. post(), call() and stop() may be
/// called from any thread; everything else only on the loop's thread or before run().
///
/// A timer runs only after every socket that was ready when it became due has been handled once: a
/// loop that runs late reads what has arrived before a timeout acts on its absence. Posted tasks,
/// too, wait while sockets could not be polled.
class EventLoop {
 public:
  using Task = std::function<void()>;
  /// \brief Called with the events that are ready: POLLIN, POLLOUT, POLLERR, POLLHUP.
  using SocketTask = std::function<void(short events)>;
  /// \brief Identifies a timer; 0 means none.
  using TimerId = std::uint64_t;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// \brief Runs until stop().
  void run();
  void stop();
  /// \brief Queues \p task to run on the loop's thread; tasks run in the order of posting.
  void post(Task task);
  /// \brief Runs \p task on the loop's thread and blocks until it has finished.
  void call(const Task& task);
  /// \brief Watches a socket for \p events; a second call replaces events and task.
  void watch(int socket, short events, SocketTask task);
  /// \brief Changes the events that a socket is watched for.
  void setEvents(int socket, short events);
  void unwatch(int socket);
  /// \brief Runs \p task every \p period.
  void every(Millis period, Task task);
  /// \brief Runs \p task once after \p delay.
  TimerId after(Millis delay, Task task);
  /// \brief Cancels a timer; does nothing if it has already run.
  void cancel(TimerId timer);
  /// \brief Sets what is called, before timers run, with how late the first of them is.
  void observeDelay(std::function<void(Millis delay)> observer) {
    delayObserver_ = std::move(observer);
  }
  bool onLoopThread() const { return std::this_thread::get_id() == thread_.load(); }

 private:
  struct Watched {
    short events = 0;
    /// Distinguishes this watch from an earlier one on the same descriptor number.
    std::uint32_t generation = 0;
    std::shared_ptr<SocketTask> task;
  };
  struct Timer {
    Millis period{0};
    Task task;
  };
  /// Sorts by due time; the identifier makes the key unique.
  using TimerKey = std::pair<Instant, TimerId>;

  void wake();
  void clearWake();
  void runPosted();
  /// Runs the timers that were due at \p until.
  void runTimers(Instant until);
  Millis untilNextTimer() const;
  /// Waits for ready sockets or the next timer, and handles the sockets.
  /// \returns a time such that all sockets that were ready then have been handled; nothing if the
  /// wait was interrupted.
  std::optional<Instant> handleSockets();
  void handleSocket(std::uint64_t key, short events);
  TimerId addTimer(Instant at, Timer timer);

  int pollFd_;
  int wakeFd_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::thread::id> thread_{};
  std::mutex mutex_;
  std::vector<Task> posted_;
  std::unordered_map<int, Watched> sockets_;
  std::uint32_t nextGeneration_ = 1;
  std::map<TimerKey, Timer> timers_;
  std::unordered_map<TimerId, Instant> timerDueTimes_;
  TimerId nextTimer_ = 1;
  std::function<void(Millis)> delayObserver_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_EVENTLOOP_H
