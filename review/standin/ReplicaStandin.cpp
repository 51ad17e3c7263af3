// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "ReplicaStandin.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace Review {

ReplicaStandin::ReplicaStandin(std::string id, std::string service, std::string zone,
                               Millis workTime, Record& record)
    : id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      workTime_(workTime),
      record_(record),
      listener_(listenAt("127.0.0.1:0")) {
  std::thread([this] { accept(); }).detach();
}

std::string ReplicaStandin::entry(const std::string& state) const {
  return R"({"service":")" + service_ + R"(","address":")" + addressOf(listener_) +
         R"(","zone":")" + zone_ + R"(","version":"1","slots":6,"state":")" + state +
         R"(","cold-remaining-ms":0,"sequence":1})";
}

void ReplicaStandin::accept() {
  while (!ended_) {
    const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) continue;
    {
      const std::lock_guard lock(mutex_);
      connections_.insert(socket);
    }
    std::thread([this, socket] { serve(socket); }).detach();
  }
  ::close(listener_);
}

void ReplicaStandin::end() {
  ended_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  const std::lock_guard lock(mutex_);
  for (const int socket : connections_) ::shutdown(socket, SHUT_RDWR);
}

void ReplicaStandin::crash() {
  const linger reset{1, 0};
  {
    const std::lock_guard lock(mutex_);
    for (const int socket : connections_) {
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
  }
  end();
}

std::size_t ReplicaStandin::noteRun(const std::string& id) {
  record_.add("replica " + id_ + " runs " + id);
  const std::lock_guard lock(mutex_);
  runs_.push_back({Clock::now(), id, false, false});
  return runs_.size() - 1;
}

void ReplicaStandin::noteRunEnded(std::size_t run, bool answered) {
  const std::lock_guard lock(mutex_);
  runs_[run].answered = answered;
  runs_[run].ended = true;
}

bool ReplicaStandin::isRunning(const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  // Few requests run at a time, and these are the last ones.
  constexpr std::size_t kLast = 32;
  const std::size_t first = runs_.size() - std::min(runs_.size(), kLast);
  return std::any_of(runs_.begin() + static_cast<std::ptrdiff_t>(first), runs_.end(),
                     [&](const Run& run) { return !run.ended && run.id.starts_with(prefix); });
}

void ReplicaStandin::serve(int socket) {
  Connection connection(socket);
  while (const auto request = connection.read()) {
    const std::string id = request->field("hallchute-attempt-id");
    const std::size_t run = noteRun(id);
    std::this_thread::sleep_for(workTime_);
    const std::string fields = "Hallchute-Attempt-Id: " + id +
                               "\r\nHallchute-Replica-Signature: " + id_ +
                               ".1\r\nKeep-Alive: timeout=10\r\n";
    const std::string body(answerBytes_, 'x');
    const bool answered = !ended_ && connection.send(answerText(200, fields, body));
    noteRunEnded(run, answered);
    if (!answered) break;
  }
  const std::lock_guard lock(mutex_);
  connections_.erase(socket);
}

std::vector<Run> ReplicaStandin::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

}  // namespace Review
