// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "StoreStandin.h"

#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <thread>

namespace Review {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr auto kForever = std::chrono::hours(1);

/// The kernel drops all packets that arrive for the socket, so that nothing is acknowledged either.
void dropArrivingPackets(int socket) {
  sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{1, &drop};
  ::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

/// The JSON object of the member \p name; braces in strings don't count.
std::string memberObject(const std::string& json, const std::string& name) {
  const std::size_t at = json.find("\"" + name + "\":");
  if (at == std::string::npos) return "{}";
  const std::size_t first = json.find('{', at);
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = first; i < json.size(); ++i) {
    if (quoted && json[i] == '\\') {
      ++i;
    } else if (json[i] == '"') {
      quoted = !quoted;
    } else if (!quoted && json[i] == '{') {
      ++depth;
    } else if (!quoted && json[i] == '}' && --depth == 0) {
      return json.substr(first, i - first + 1);
    }
  }
  return "{}";
}

std::string memberText(const std::string& json, const std::string& name) {
  const std::string key = "\"" + name + "\":";
  const std::size_t at = json.find(key);
  if (at == std::string::npos) return {};
  const std::size_t first = json.find_first_not_of(" \"", at + key.size());
  return json.substr(first, json.find_first_of("\",}", first) - first);
}

std::uint64_t queryNumber(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  return at == std::string::npos
             ? 0
             : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace

StoreStandin::StoreStandin(const std::string& listen) {
  const int listener = listenAt(listen);
  address_ = listener < 0 ? std::string() : addressOf(listener);
  if (listener >= 0) std::thread([this, listener] { accept(listener); }).detach();
}

void StoreStandin::accept(int listener) {
  while (true) {
    const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket >= 0) std::thread([this, socket] { serve(socket); }).detach();
  }
}

void StoreStandin::serve(int socket) {
  Connection connection(socket);
  {
    const std::lock_guard lock(mutex_);
    connections_.insert(socket);
  }
  while (const auto request = connection.read()) {
    const Answer answer = handle(*request);
    // Keeps the connection open.
    if (isSilent(socket)) std::this_thread::sleep_for(kForever);
    connection.send(answerText(answer.first, "Content-Type: application/json\r\n", answer.second));
  }
  if (isSilent(socket)) std::this_thread::sleep_for(kForever);
  const std::lock_guard lock(mutex_);
  connections_.erase(socket);
}

bool StoreStandin::isSilent(int socket) {
  const std::lock_guard lock(mutex_);
  return silent_.contains(socket);
}

Instant StoreStandin::silenceOpenConnections() {
  const std::lock_guard lock(mutex_);
  silent_.insert(connections_.begin(), connections_.end());
  for (const int socket : connections_) dropArrivingPackets(socket);
  return Clock::now();
}

Instant StoreStandin::put(const std::string& kind, const std::string& name,
                          const std::string& spec) {
  const std::lock_guard lock(mutex_);
  set(kind, name, spec);
  return Clock::now();
}

void StoreStandin::set(const std::string& kind, const std::string& name, const std::string& spec) {
  Stored& stored = objects_[kind][name];
  stored = {++revision_, spec};
  events_.push_back({revision_, kind, objectText(name, stored), false});
  changed_.notify_all();
}

void StoreStandin::remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  if (objects_[kind].erase(name) == 0) return;
  ++revision_;
  events_.push_back({revision_, kind, objectText(name, {revision_, "{}"}), true});
  changed_.notify_all();
}

std::string StoreStandin::objectText(const std::string& name, const Stored& stored) {
  return R"({"metadata":{"name":")" + name + R"(","rev":)" + std::to_string(stored.revision) +
         R"(},"spec":)" + stored.spec + "}";
}

StoreStandin::Answer StoreStandin::handle(const Message& request) {
  const std::string target = request.word(1);
  const std::string path = target.substr(0, target.find('?'));
  const std::string prefix = "/objects/";
  if (path.compare(0, prefix.size(), prefix) != 0) return {kOk, "{}"};
  const std::string rest = path.substr(prefix.size());
  const std::size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
  if (request.word(0) != "GET") return write(request, kind, name);
  if (!name.empty()) return read(kind, name);
  return target.find("watch=") == std::string::npos ? list(kind) : watch(kind, target);
}

StoreStandin::Answer StoreStandin::read(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end()) return {kNotFound, "{}"};
  return {kOk, objectText(name, found->second)};
}

StoreStandin::Answer StoreStandin::list(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  std::string items;
  for (const auto& [name, stored] : objects_[kind]) {
    items += (items.empty() ? "" : ",") + objectText(name, stored);
  }
  return {kOk, R"({"items":[)" + items + R"(],"as-of":)" + std::to_string(revision_) + "}"};
}

StoreStandin::Answer StoreStandin::watch(const std::string& kind, const std::string& target) {
  const std::uint64_t since = queryNumber(target, "watch");
  const Instant end = Clock::now() + Millis(queryNumber(target, "wait-ms"));
  std::unique_lock lock(mutex_);
  std::string events;
  do {
    for (const Event& event : events_) {
      if (event.kind != kind || event.revision <= since) continue;
      events += (events.empty() ? R"({"object":)" : R"(,{"object":)") + event.object +
                (event.deleted ? R"(,"deleted":true})" : R"(,"deleted":false})");
    }
  } while (events.empty() && changed_.wait_until(lock, end) == std::cv_status::no_timeout);
  return {kOk, R"({"events":[)" + events + R"(],"as-of":)" + std::to_string(revision_) + "}"};
}

StoreStandin::Answer StoreStandin::write(const Message& request, const std::string& kind,
                                         const std::string& name) {
  const std::string metadata = memberObject(request.body, "metadata");
  const bool creates = request.word(0) == "POST";
  const std::string written = creates ? memberText(metadata, "name") : name;
  const std::uint64_t expected = std::strtoull(memberText(metadata, "rev").c_str(), nullptr, 10);
  const std::lock_guard lock(mutex_);
  const auto found = objects_[kind].find(written);
  const bool exists = found != objects_[kind].end();
  if (!creates && !exists) return {kNotFound, "{}"};
  const bool conflicts = creates ? exists : expected > 0 && expected != found->second.revision;
  if (conflicts) return {kConflict, objectText(written, found->second)};
  set(kind, written, memberObject(request.body, "spec"));
  return {kOk, objectText(written, objects_[kind][written])};
}

}  // namespace Review
