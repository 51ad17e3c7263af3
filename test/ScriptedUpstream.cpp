// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "ScriptedUpstream.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/str_replace.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "standin/RawRequest.h"

namespace Hallchute {

using Standin::fieldOf;
using Standin::takeRequest;

namespace {

const Poco::Timespan kTurn(0, 20'000);
constexpr std::chrono::seconds kArrivalLimit{5};
constexpr std::chrono::milliseconds kCancelLimit{500};

template <typename Condition>
void awaitFor(std::chrono::milliseconds limit, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

}  // namespace

ScriptedUpstream::ScriptedUpstream(std::vector<UpstreamScript> scripts)
    : scripts_(std::move(scripts)) {
  listener_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  listener_.listen();
  acceptor_ = std::thread([this] { accept(); });
}

ScriptedUpstream::~ScriptedUpstream() {
  stopping_ = true;
  acceptor_.join();
  for (std::thread& thread : threads_) thread.join();
}

std::vector<std::string> ScriptedUpstream::requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

void ScriptedUpstream::awaitRequests(std::size_t count) const {
  awaitFor(kArrivalLimit, [&] { return requests().size() >= count; });
}

int ScriptedUpstream::awaitCancelled(int count) const {
  awaitFor(kCancelLimit, [&] { return cancelled() >= count; });
  return cancelled();
}

void ScriptedUpstream::accept() {
  while (!stopping_) {
    if (!listener_.poll(kTurn, Poco::Net::Socket::SELECT_READ)) continue;
    const Poco::Net::StreamSocket socket = listener_.acceptConnection();
    threads_.emplace_back([this, socket] {
      try {
        serve(socket);
      } catch (const Poco::Exception&) {
        // The other side reset the connection before all bytes of a script were sent.
        ++cancelled_;
      }
    });
  }
}

/// \returns whether the other side kept the connection open.
bool ScriptedUpstream::stayOpenFor(Poco::Net::StreamSocket& socket,
                                   std::chrono::milliseconds time) const {
  const auto end = std::chrono::steady_clock::now() + time;
  while (!stopping_ && std::chrono::steady_clock::now() < end) {
    char byte = 0;
    if (!socket.poll(kTurn, Poco::Net::Socket::SELECT_READ)) continue;
    if (::recv(socket.impl()->sockfd(), &byte, 1, MSG_PEEK) <= 0) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

/// \returns whether the other side kept the connection open.
bool ScriptedUpstream::sendEndlessly(Poco::Net::StreamSocket& socket, const std::string& bytes,
                                     std::chrono::milliseconds pace) {
  std::size_t sent = 0;
  std::size_t total = 0;
  while (!stopping_ && total < kMaxEndlessBytes) {
    const ssize_t put = ::send(socket.impl()->sockfd(), bytes.data() + sent, bytes.size() - sent,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (put < 0 && errno != EAGAIN) return false;
    if (put < 0) {
      socket.poll(kTurn, Poco::Net::Socket::SELECT_WRITE);
      continue;
    }
    total += static_cast<std::size_t>(put);
    endlessBytes_ += static_cast<std::size_t>(put);
    sent = (sent + static_cast<std::size_t>(put)) % bytes.size();
    if (sent == 0 && pace.count() > 0 && !stayOpenFor(socket, pace)) return false;
  }
  return true;
}

void ScriptedUpstream::serve(Poco::Net::StreamSocket socket) {
  std::string in;
  std::array<char, 4096> buffer;
  bool hanging = false;
  while (!stopping_) {
    if (!socket.poll(kTurn, Poco::Net::Socket::SELECT_READ)) continue;
    const ssize_t got = ::recv(socket.impl()->sockfd(), buffer.data(), buffer.size(), 0);
    if (got <= 0) {
      if (hanging) ++cancelled_;
      return;
    }
    in.append(buffer.data(), static_cast<std::size_t>(got));
    for (std::string request = takeRequest(in); !request.empty(); request = takeRequest(in)) {
      UpstreamScript script;
      {
        const std::lock_guard lock(mutex_);
        script = scripts_[std::min(requests_.size(), scripts_.size() - 1)];
        requests_.push_back(request);
      }
      const std::string id = fieldOf(request, "Hallchute-Attempt-Id");
      const auto send = [&](const std::string& bytes) {
        const std::string out = absl::StrReplaceAll(bytes, {{"{id}", id}});
        if (!out.empty()) socket.sendBytes(out.data(), static_cast<int>(out.size()));
      };
      send(script.bytes);
      const auto sendAfter = [&](std::chrono::milliseconds silence, const std::string& bytes) {
        if (!stayOpenFor(socket, silence)) return false;
        send(bytes);
        return true;
      };
      if (!sendAfter(script.silence, script.later) ||
          !sendAfter(script.secondSilence, script.last) ||
          (!script.endless.empty() && !sendEndlessly(socket, script.endless, script.pace))) {
        ++cancelled_;
        return;
      }
      if (script.then == UpstreamScript::Then::close) return;
      if (script.then == UpstreamScript::Then::reset) {
        socket.setLinger(true, 0);
        return;
      }
      hanging = script.then == UpstreamScript::Then::hang;
    }
  }
}

}  // namespace Hallchute
