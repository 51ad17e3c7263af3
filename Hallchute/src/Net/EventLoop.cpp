// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/EventLoop.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <future>

#include "Hallchute/src/Net/Clock.h"

namespace Hallchute {
namespace {

constexpr Millis kLongestPoll{1'000};

}  // namespace

EventLoop::EventLoop() : wakeFd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

EventLoop::~EventLoop() {
  close(wakeFd_);
}

void EventLoop::run() {
  thread_ = std::this_thread::get_id();
  while (!stopping_) {
    pollOnce();
    runPosted();
    runTimers();
  }
  runPosted();
  thread_ = std::thread::id();
}

void EventLoop::stop() {
  stopping_ = true;
  wake();
}

void EventLoop::wake() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = write(wakeFd_, &one, sizeof one);
}

void EventLoop::drainWake() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto got = read(wakeFd_, &count, sizeof count);
}

void EventLoop::post(Task task) {
  {
    const std::lock_guard lock(mutex_);
    posted_.push_back(std::move(task));
  }
  wake();
}

void EventLoop::call(const Task& task) {
  if (onLoopThread()) {
    task();
    return;
  }
  std::promise<void> done;
  post([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

void EventLoop::watch(int socket, short events, SocketTask task) {
  sockets_[socket] = {events, std::move(task)};
}

void EventLoop::unwatch(int socket) {
  sockets_.erase(socket);
}

void EventLoop::every(Millis period, Task task) {
  timers_.emplace(clockNow() + period, Timer{period, std::move(task)});
}

void EventLoop::after(Millis delay, Task task) {
  timers_.emplace(clockNow() + delay, Timer{Millis(0), std::move(task)});
}

Millis EventLoop::untilNextTimer() const {
  if (timers_.empty()) return kLongestPoll;
  const auto left = std::chrono::ceil<Millis>(timers_.begin()->first - clockNow());
  return std::clamp(left, Millis(0), kLongestPoll);
}

void EventLoop::pollOnce() {
  std::vector<pollfd> fds;
  fds.reserve(sockets_.size() + 1);
  fds.push_back({wakeFd_, POLLIN, 0});
  for (const auto& [socket, watched] : sockets_) fds.push_back({socket, watched.events, 0});
  const int ready = poll(fds.data(), fds.size(), static_cast<int>(untilNextTimer().count()));
  if (ready <= 0) return;
  if (fds.front().revents != 0) drainWake();
  for (std::size_t i = 1; i < fds.size(); ++i) {
    if (fds[i].revents == 0) continue;
    const auto it = sockets_.find(fds[i].fd);
    if (it == sockets_.end()) continue;
    const SocketTask task = it->second.task;
    task(fds[i].revents);
  }
}

void EventLoop::runPosted() {
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(mutex_);
    tasks.swap(posted_);
  }
  for (const Task& task : tasks) task();
}

void EventLoop::runTimers() {
  const Instant now = clockNow();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    auto node = timers_.extract(timers_.begin());
    const Timer timer = std::move(node.mapped());
    timer.task();
    if (timer.period > Millis(0)) timers_.emplace(now + timer.period, timer);
  }
}

}  // namespace Hallchute
