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
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The one thread that owns all control state: sockets, timers and posted tasks.
/// \ingroup Net
///
/// post() and call() may be used from any thread; everything else on the loop's own thread or
/// before run().
class EventLoop {
 public:
  using Task = std::function<void()>;
  /// \brief Told which of POLLIN, POLLOUT, POLLERR, POLLHUP came.
  using SocketTask = std::function<void(short events)>;
  /// \brief Names a timer; 0 names none.
  using TimerId = std::uint64_t;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// \brief Runs until stop().
  void run();
  void stop();
  /// \brief Runs \p task on the loop's thread, soon and in order.
  void post(Task task);
  /// \brief Runs \p task on the loop's thread and waits for it.
  void call(const Task& task);
  /// \brief Watches a socket for \p events; a second call changes them.
  void watch(int socket, short events, SocketTask task);
  /// \brief Changes what a watched socket waits for.
  void setEvents(int socket, short events);
  void unwatch(int socket);
  /// \brief Runs \p task every \p period.
  void every(Millis period, Task task);
  /// \brief Runs \p task once after \p delay.
  TimerId after(Millis delay, Task task);
  /// \brief Takes back a timer; does nothing if it has run.
  void cancel(TimerId timer);
  bool onLoopThread() const { return std::this_thread::get_id() == thread_.load(); }

 private:
  struct Watched {
    short events = 0;
    /// Tells this watch from an earlier one of the same descriptor.
    std::uint32_t generation = 0;
    std::shared_ptr<SocketTask> task;
  };
  struct Timer {
    Millis period{0};
    Task task;
  };
  /// Timers run in the order of their time; the number makes each key unique.
  using TimerKey = std::pair<Instant, TimerId>;

  void wake();
  void drainWake();
  void runPosted();
  void runTimers();
  Millis untilNextTimer() const;
  void pollOnce();
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
  std::unordered_map<TimerId, Instant> timerTimes_;
  TimerId nextTimer_ = 1;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_EVENTLOOP_H
