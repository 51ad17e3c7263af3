// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/EventLoop.h"

#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <exception>
#include <future>

#include "Hallchute/src/Net/Clock.h"

namespace Hallchute {
namespace {

constexpr Millis kMaxPollTimeout{1'000};
constexpr int kMaxEventsPerPoll = 64;

// Callers pass poll() flags, which go to epoll unchanged.
static_assert(POLLIN == EPOLLIN && POLLOUT == EPOLLOUT);
static_assert(POLLERR == EPOLLERR && POLLHUP == EPOLLHUP && POLLRDHUP == EPOLLRDHUP);

std::uint64_t eventKey(int socket, std::uint32_t generation) {
  return (static_cast<std::uint64_t>(generation) << 32U) | static_cast<std::uint32_t>(socket);
}

}  // namespace

EventLoop::EventLoop()
    : pollFd_(epoll_create1(EPOLL_CLOEXEC)), wakeFd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = eventKey(wakeFd_, 0);
  epoll_ctl(pollFd_, EPOLL_CTL_ADD, wakeFd_, &event);
}

EventLoop::~EventLoop() {
  close(pollFd_);
  close(wakeFd_);
}

void EventLoop::run() {
  thread_ = std::this_thread::get_id();
  while (!stopping_) {
    const std::optional<Instant> handledUntil = handleSockets();
    if (!handledUntil) continue;
    runPosted();
    runTimers(*handledUntil);
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

void EventLoop::clearWake() {
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
  // Shared: the waiting thread may return before set_value() has.
  const auto done = std::make_shared<std::promise<void>>();
  std::future<void> result = done->get_future();
  post([&task, done] {
    // An exception belongs to the caller, who waits.
    try {
      task();
      done->set_value();
    } catch (...) {
      done->set_exception(std::current_exception());
    }
  });
  result.get();
}

void EventLoop::watch(int socket, short events, SocketTask task) {
  const bool registered = sockets_.contains(socket);
  Watched& watched = sockets_[socket];
  if (!registered) watched.generation = nextGeneration_++;
  watched.events = events;
  watched.task = std::make_shared<SocketTask>(std::move(task));
  epoll_event event{};
  event.events = static_cast<std::uint32_t>(events);
  event.data.u64 = eventKey(socket, watched.generation);
  epoll_ctl(pollFd_, registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
}

void EventLoop::setEvents(int socket, short events) {
  const auto it = sockets_.find(socket);
  if (it == sockets_.end() || it->second.events == events) return;
  it->second.events = events;
  epoll_event event{};
  event.events = static_cast<std::uint32_t>(events);
  event.data.u64 = eventKey(socket, it->second.generation);
  epoll_ctl(pollFd_, EPOLL_CTL_MOD, socket, &event);
}

void EventLoop::unwatch(int socket) {
  if (sockets_.erase(socket) == 0) return;
  epoll_ctl(pollFd_, EPOLL_CTL_DEL, socket, nullptr);
}

EventLoop::TimerId EventLoop::addTimer(Instant at, Timer timer) {
  const TimerId id = nextTimer_++;
  timers_.emplace(TimerKey{at, id}, std::move(timer));
  timerDueTimes_.emplace(id, at);
  return id;
}

void EventLoop::every(Millis period, Task task) {
  addTimer(clockNow() + period, Timer{period, std::move(task)});
}

EventLoop::TimerId EventLoop::after(Millis delay, Task task) {
  return addTimer(clockNow() + delay, Timer{Millis(0), std::move(task)});
}

void EventLoop::cancel(TimerId timer) {
  const auto it = timerDueTimes_.find(timer);
  if (it == timerDueTimes_.end()) return;
  timers_.erase({it->second, timer});
  timerDueTimes_.erase(it);
}

Millis EventLoop::untilNextTimer() const {
  if (timers_.empty()) return kMaxPollTimeout;
  const auto left = std::chrono::ceil<Millis>(timers_.begin()->first.first - clockNow());
  return std::clamp(left, Millis(0), kMaxPollTimeout);
}

std::optional<Instant> EventLoop::handleSockets() {
  std::array<epoll_event, kMaxEventsPerPoll> ready;
  const Instant start = clockNow();
  int timeout = static_cast<int>(untilNextTimer().count());
  const std::size_t watched = sockets_.size();
  std::size_t handled = 0;
  int count = 0;
  do {
    count = epoll_wait(pollFd_, ready.data(), kMaxEventsPerPoll, timeout);
    if (count < 0) return std::nullopt;
    for (int i = 0; i < count; ++i) {
      handleSocket(ready[i].data.u64, static_cast<short>(ready[i].events));
    }
    handled += static_cast<std::size_t>(count);
    timeout = 0;
    // epoll returns ready sockets in turn, so that none is left out although others stay ready.
  } while (count == kMaxEventsPerPoll && handled <= watched);
  return start;
}

void EventLoop::handleSocket(std::uint64_t key, short events) {
  const int socket = static_cast<int>(key & 0xffffffffU);
  if (socket == wakeFd_) {
    clearWake();
    return;
  }
  const auto it = sockets_.find(socket);
  if (it == sockets_.end() || it->second.generation != key >> 32U) return;
  // Keeps the task alive: it may replace itself or unwatch its socket.
  const std::shared_ptr<SocketTask> task = it->second.task;
  (*task)(events);
}

void EventLoop::runPosted() {
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(mutex_);
    tasks.swap(posted_);
  }
  for (const Task& task : tasks) task();
}

void EventLoop::runTimers(Instant until) {
  const Instant now = clockNow();
  if (delayObserver_ && !timers_.empty() && timers_.begin()->first.first <= until) {
    delayObserver_(std::chrono::duration_cast<Millis>(now - timers_.begin()->first.first));
  }
  while (!timers_.empty() && timers_.begin()->first.first <= until) {
    auto node = timers_.extract(timers_.begin());
    timerDueTimes_.erase(node.key().second);
    Timer timer = std::move(node.mapped());
    timer.task();
    const Millis period = timer.period;
    if (period > Millis(0)) addTimer(now + period, std::move(timer));
  }
}

}  // namespace Hallchute
