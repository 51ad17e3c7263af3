// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "ReplicaStandin.h"

#include <sys/socket.h>
#include <unistd.h>

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

std::size_t ReplicaStandin::noteRun(const std::string& id) {
  record_.add("replica " + id_ + " runs " + id);
  const std::lock_guard lock(mutex_);
  runs_.push_back({Clock::now(), id, false});
  return runs_.size() - 1;
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
    if (ended_ || !connection.send(answerText(200, fields, body))) break;
    const std::lock_guard lock(mutex_);
    runs_[run].answered = true;
  }
  const std::lock_guard lock(mutex_);
  connections_.erase(socket);
}

std::vector<Run> ReplicaStandin::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

}  // namespace Review
