// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "standin/ReplicaStandin.h"

#include <Poco/Net/NetException.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <utility>

#include "standin/RawRequest.h"
#include "standin/SourceFilter.h"

namespace Standin {
namespace {

/// How often a thread looks whether the replica has crashed.
const Poco::Timespan kTurn(0, 10'000);
constexpr std::chrono::milliseconds kSleep{5};
constexpr std::size_t kFloodBlockBytes = std::size_t{16} << 10U;
constexpr std::size_t kMaxFloodBytes = std::size_t{128} << 20U;
/// How long a caller may read nothing of a flood, as when it is suspended.
const Poco::Timespan kFloodTimeout(2, 0);

}  // namespace

ReplicaStandin::ReplicaStandin(std::string id, std::chrono::milliseconds workTime,
                               std::string version)
    : id_(std::move(id)), workTime_(workTime), version_(std::move(version)) {
  listener_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  listener_.listen();
  address_ = listener_.address().toString();
  acceptor_ = std::thread([this] { accept(); });
}

ReplicaStandin::~ReplicaStandin() {
  crash();
  acceptor_.join();
  for (std::thread& thread : threads_) thread.join();
}

void ReplicaStandin::crash() {
  const std::lock_guard lock(mutex_);
  if (crashed_.exchange(true)) return;
  crashedAt_ = std::chrono::steady_clock::now();
  runningAtCrash_.assign(running_.begin(), running_.end());
}

std::chrono::steady_clock::time_point ReplicaStandin::crashedAt() const {
  const std::lock_guard lock(mutex_);
  return crashedAt_;
}

std::vector<std::string> ReplicaStandin::runningAtCrash() const {
  const std::lock_guard lock(mutex_);
  return runningAtCrash_;
}

std::vector<Arrival> ReplicaStandin::arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

std::vector<Rejection> ReplicaStandin::rejections() const {
  const std::lock_guard lock(mutex_);
  return rejections_;
}

std::vector<NamedLimit> ReplicaStandin::namedLimits() const {
  const std::lock_guard lock(mutex_);
  return namedLimits_;
}

void ReplicaStandin::cutOff(const std::set<std::string>& callers, CutKind kind) {
  const std::lock_guard lock(mutex_);
  if (crashed_) return;
  dropPacketsFrom(listener_.impl()->sockfd(), callers);
  for (const auto& [socket, caller] : connections_) {
    if (callers.empty() || kind == CutKind::hang) dropPacketsFrom(socket, callers);
    // Ends the thread that serves it, which closes the socket with a reset.
    if (kind == CutKind::reset && callers.contains(caller)) ::shutdown(socket, SHUT_RD);
  }
}

void ReplicaStandin::wait(std::chrono::milliseconds time) const {
  const auto end = std::chrono::steady_clock::now() + time;
  for (auto now = end - time; !crashed_ && now < std::max(end, silentUntil_.load());
       now = std::chrono::steady_clock::now()) {
    std::this_thread::sleep_for(kSleep);
  }
}

void ReplicaStandin::fallSilent(std::chrono::milliseconds time) {
  silentUntil_ = std::chrono::steady_clock::now() + time;
}

void ReplicaStandin::sendEndlessly(std::chrono::milliseconds time) {
  endlessUntil_ = std::chrono::steady_clock::now() + time;
}

/// Ends when the other side closes the connection, at a crash, or after kMaxFloodBytes, so that a
/// gateway that reads all of it is found by its memory and not by the host's.
void ReplicaStandin::flood(Poco::Net::StreamSocket& socket, const std::string& request) const {
  const std::string id = fieldOf(request, "Hallchute-Attempt-Id");
  const std::string signedHead = absl::StrCat("HTTP/1.1 200 OK\r\nHallchute-Attempt-Id: ", id,
                                              "\r\nHallchute-Replica-Signature: ", id_, "\r\n");
  const std::string eventHead = signedHead + "Content-Type: text/event-stream\r\n\r\n";
  const std::array<std::pair<std::string, std::string>, 4> kinds{{
      {"HTTP/1.1 200 OK\r\nX: ", "x"},
      {signedHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
      {eventHead + "data: ", "x"},
      {eventHead, ": x\n\n"},
  }};
  const auto& [head, unit] = kinds.at(std::hash<std::string>{}(id) % kinds.size());
  std::string block;
  while (block.size() < kFloodBlockBytes) block += unit;
  const int fd = socket.impl()->sockfd();
  socket.setSendTimeout(kFloodTimeout);
  if (::send(fd, head.data(), head.size(), MSG_NOSIGNAL) < 0) return;
  for (std::size_t sent = 0; !crashed_ && sent < kMaxFloodBytes; sent += block.size()) {
    if (::send(fd, block.data(), block.size(), MSG_NOSIGNAL) < 0) return;
  }
}

bool ReplicaStandin::rejects(Poco::Net::StreamSocket& socket, const std::string& request,
                             const std::string& caller) {
  const std::chrono::milliseconds retryAfter(retryAfterMs_);
  if (retryAfter.count() == 0) return false;
  {
    const std::lock_guard lock(mutex_);
    rejections_.push_back({{std::chrono::steady_clock::now(), id_, caller, bodyOf(request),
                            fieldOf(request, "Hallchute-Attempt-Id")},
                           retryAfter});
  }
  const std::string answer = absl::StrCat(
      "HTTP/1.1 503 Service Unavailable\r\nHallchute-Attempt-Id: ",
      fieldOf(request, "Hallchute-Attempt-Id"), "\r\nHallchute-Not-Executed: 1\r\nRetry-After: ",
      static_cast<double>(retryAfter.count()) / 1'000, "\r\nContent-Length: 0\r\n\r\n");
  ::send(socket.impl()->sockfd(), answer.data(), answer.size(), MSG_NOSIGNAL);
  return true;
}

void ReplicaStandin::accept() {
  while (!crashed_) {
    if (!listener_.poll(kTurn, Poco::Net::Socket::SELECT_READ)) continue;
    const Poco::Net::StreamSocket socket = listener_.acceptConnection();
    threads_.emplace_back([this, socket] { serve(socket); });
  }
  listener_.close();
}

void ReplicaStandin::serve(Poco::Net::StreamSocket socket) {
  socket.setLinger(true, 0);
  const int descriptor = socket.impl()->sockfd();
  std::string caller;
  try {
    caller = socket.peerAddress().host().toString();
  } catch (const Poco::Net::NetException&) {
    // The caller has reset the connection.
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    connections_[descriptor] = caller;
  }
  answerRequests(socket, caller);
  const std::lock_guard lock(mutex_);
  connections_.erase(descriptor);
}

void ReplicaStandin::answerRequests(Poco::Net::StreamSocket& socket, const std::string& caller) {
  std::string in;
  std::string due;
  std::array<char, 4096> buffer;
  while (!crashed_) {
    if (!socket.poll(kTurn, Poco::Net::Socket::SELECT_READ)) continue;
    const ssize_t got = ::recv(socket.impl()->sockfd(), buffer.data(), buffer.size(), 0);
    if (got <= 0) return;
    in.append(buffer.data(), static_cast<std::size_t>(got));
    for (std::string request = takeRequest(in); !request.empty() && !crashed_;
         request = takeRequest(in)) {
      if (!run(socket, request, caller, due)) return;
    }
  }
}

bool ReplicaStandin::takeSlot(Poco::Net::StreamSocket& socket, const std::string& request) {
  if (room_.slots == 0) return true;
  std::unique_lock lock(mutex_);
  if (admitted_ < room_.slots + room_.queue) {
    ++admitted_;
    while (!crashed_ && running_.size() >= room_.slots) slotFreed_.wait_for(lock, kSleep);
    return !crashed_;
  }
  const auto now = std::chrono::steady_clock::now();
  turnedAway_.push_back(now);
  while (turnedAway_.front() <= now - std::chrono::seconds(1)) turnedAway_.pop_front();
  const bool falls = static_cast<double>(turnedAway_.size()) > room_.rejectionsPerSecond;
  lock.unlock();
  if (falls) crash();
  if (falls) return false;
  const std::string answer =
      absl::StrCat("HTTP/1.1 503 Service Unavailable\r\nHallchute-Attempt-Id: ",
                   fieldOf(request, "Hallchute-Attempt-Id"),
                   "\r\nHallchute-Not-Executed: 1\r\nServer-Brittle: ", room_.rejectionsPerSecond,
                   "\r\nContent-Length: 0\r\n\r\n");
  ::send(socket.impl()->sockfd(), answer.data(), answer.size(), MSG_NOSIGNAL);
  return false;
}

bool ReplicaStandin::run(Poco::Net::StreamSocket& socket, const std::string& request,
                         const std::string& caller, std::string& due) {
  const std::string body = bodyOf(request);
  ::send(socket.impl()->sockfd(), due.data(), due.size(), MSG_NOSIGNAL);
  due.clear();
  if (rejects(socket, request, caller)) return true;
  const std::string id = fieldOf(request, "Hallchute-Attempt-Id");
  const AnswerPlan plan = drawPlan(id, drawSeed_, drawnPart_);
  if (!plan.runs) {
    const std::lock_guard lock(mutex_);
    rejections_.push_back({{std::chrono::steady_clock::now(), id_, caller, body, id}, {}});
    return sendDrawn(socket, request, plan, due);
  }
  if (!takeSlot(socket, request)) return !crashed_;
  const double limit = limit_;
  {
    const std::lock_guard lock(mutex_);
    arrivals_.push_back({std::chrono::steady_clock::now(), id_, caller, body, id});
    running_.insert(body);
  }
  wait(std::chrono::milliseconds(0));
  wait(workTime_);
  const bool badPart =
      absl::StrContains(fieldOf(request, "Hallchute-Prompt-Prefix"), kCrashingPart);
  if (absl::StartsWith(body, kCrashingBody) || badPart) crash();
  {
    const std::lock_guard lock(mutex_);
    running_.erase(running_.find(body));
    if (admitted_ > 0) --admitted_;
    slotFreed_.notify_all();
    if (crashed_) return false;
    if (limit > 0) namedLimits_.push_back({std::chrono::steady_clock::now(), caller, limit});
  }
  if (std::chrono::steady_clock::now() < endlessUntil_.load()) {
    flood(socket, request);
    return false;
  }
  if (absl::StrContains(request.substr(0, request.find('\r')), " /stream/")) {
    return stream(socket, request);
  }
  if (drawnPart_ > 0) return sendDrawn(socket, request, plan, due);
  const std::string answer = answerTo(request, limit);
  ::send(socket.impl()->sockfd(), answer.data(), answer.size(), MSG_NOSIGNAL);
  return true;
}

bool ReplicaStandin::sendDrawn(Poco::Net::StreamSocket& socket, const std::string& request,
                               const AnswerPlan& plan, std::string& due) const {
  const std::string id = fieldOf(request, "Hallchute-Attempt-Id");
  std::string text = answerOf(plan, id, id_);
  if (plan.end == AnswerPlan::End::cutOff) text.pop_back();
  if (plan.end == AnswerPlan::End::closed || plan.end == AnswerPlan::End::reset) text.clear();
  if (plan.surplus == AnswerPlan::Surplus::before) text.insert(0, surplusOf(plan, id));
  if (plan.surplus == AnswerPlan::Surplus::after) text += surplusOf(plan, id);
  if (plan.surplus == AnswerPlan::Surplus::late) due = surplusOf(plan, id);
  ::send(socket.impl()->sockfd(), text.data(), text.size(), MSG_NOSIGNAL);
  if (plan.end == AnswerPlan::End::whole) return true;
  // Else the connection is reset.
  if (plan.end != AnswerPlan::End::reset) socket.setLinger(false, 0);
  return false;
}

/// Half of the streams have neither a length nor chunks. When the replica crashes, these end inside
/// an event as if they were complete.
bool ReplicaStandin::stream(Poco::Net::StreamSocket& socket, const std::string& request) const {
  int last = 0;
  int from = 0;
  if (!absl::SimpleAtoi(bodyOf(request), &last)) return false;
  if (!absl::SimpleAtoi(fieldOf(request, "Last-Event-Id"), &from)) from = 0;
  const std::string id = fieldOf(request, "Hallchute-Attempt-Id");
  const bool chunked = std::hash<std::string>{}(id) % 2 == 0;
  std::string text = absl::StrCat("HTTP/1.1 200 OK\r\nHallchute-Attempt-Id: ", id,
                                  "\r\nHallchute-Replica-Signature: ", id_,
                                  "\r\nContent-Type: text/event-stream\r\n",
                                  chunked ? "Transfer-Encoding: chunked\r\n" : "", "\r\n");
  const auto sendText = [&] {
    const ssize_t sent = ::send(socket.impl()->sockfd(), text.data(), text.size(), MSG_NOSIGNAL);
    text.clear();
    return sent >= 0;
  };
  for (int i = from + 1; i <= last && !crashed_; ++i) {
    const std::string event = absl::StrCat("id: ", i, "\ndata: ", version_, "\n\n");
    if (chunked) {
      absl::StrAppend(&text, absl::Hex(event.size()), "\r\n", event, "\r\n");
      if (i == last) absl::StrAppend(&text, "0\r\n\r\n");
    } else {
      absl::StrAppend(&text, event);
    }
    if (!sendText()) return false;
    wait(kEventGap);
  }
  if (chunked) return true;
  if (crashed_) {
    text = "id: ";
    sendText();
  }
  // Closed without a reset.
  socket.setLinger(false, 0);
  return false;
}

std::string ReplicaStandin::answerTo(const std::string& request, double limit) const {
  const std::string body = "done";
  std::string head = absl::StrCat(
      "HTTP/1.1 200 OK\r\nHallchute-Attempt-Id: ", fieldOf(request, "Hallchute-Attempt-Id"),
      "\r\nHallchute-Replica-Signature: ", id_, "\r\nContent-Length: ", body.size(), "\r\n");
  if (limit > 0) absl::StrAppend(&head, "Server-Limit: ", limit, "\r\n");
  if (room_.slots > 0)
    absl::StrAppend(&head, "Server-Brittle: ", room_.rejectionsPerSecond, "\r\n");
  return absl::StrCat(head, "\r\n", body);
}

}  // namespace Standin
