// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_EVENTLOOP_H
#define HALLCHUTE_NET_EVENTLOOP_H

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
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
  void unwatch(int socket);
  /// \brief Runs \p task every \p period.
  void every(Millis period, Task task);
  /// \brief Runs \p task once after \p delay.
  void after(Millis delay, Task task);
  bool onLoopThread() const { return std::this_thread::get_id() == thread_.load(); }

 private:
  struct Watched {
    short events = 0;
    SocketTask task;
  };
  struct Timer {
    Millis period{0};
    Task task;
  };

  void wake();
  void drainWake();
  void runPosted();
  void runTimers();
  Millis untilNextTimer() const;
  void pollOnce();

  int wakeFd_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::thread::id> thread_{};
  std::mutex mutex_;
  std::vector<Task> posted_;
  std::map<int, Watched> sockets_;
  std::multimap<Instant, Timer> timers_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_EVENTLOOP_H
