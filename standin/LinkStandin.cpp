// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "standin/LinkStandin.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <poll.h>

#include <array>
#include <chrono>
#include <thread>

#include "Hallchute/src/Settings/JsonTree.h"

namespace Standin {
namespace {

using Poco::JSON::Object;
using Poco::Net::StreamSocket;

constexpr int kPollMs = 50;
constexpr std::chrono::milliseconds kCutPause{20};
constexpr int kConnectMs = 500'000;

/// \returns false once the connection has ended.
bool pump(StreamSocket& from, StreamSocket& to, std::chrono::microseconds delay) {
  std::array<char, 16'384> buffer;
  const int got = from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  if (got <= 0) return false;
  if (delay.count() > 0) std::this_thread::sleep_for(delay);
  for (int sent = 0; sent < got;) sent += to.sendBytes(buffer.data() + sent, got - sent);
  return true;
}

bool startsWith(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}

}  // namespace

void LinkStandin::handle(const Request& request, Poco::Net::HTTPServerResponse& response) {
  Hallchute::Findings findings;
  const Object::Ptr json = Hallchute::parseJsonObject(request.body, findings);
  if (!json) {
    sendJson(response, 400, new Object);
    return;
  }
  if (request.path == "/control/route") {
    addRoute(json->getValue<std::string>("listen"), json->getValue<std::string>("target"));
  } else {
    const auto a = json->optValue<std::string>("a", "");
    const auto b = json->optValue<std::string>("b", "");
    if (request.path == "/control/cut") cut(a, b);
    if (request.path == "/control/heal") healAll();
  }
  sendJson(response, 200, new Object);
}

void LinkStandin::cut(const std::string& a, const std::string& b) {
  const std::lock_guard lock(mutex_);
  cuts_.emplace(a, b);
}

void LinkStandin::healAll() {
  const std::lock_guard lock(mutex_);
  cuts_.clear();
}

bool LinkStandin::isCut(const std::string& a, const std::string& b) {
  const std::lock_guard lock(mutex_);
  for (const auto& [one, other] : cuts_) {
    if (startsWith(a, one) && startsWith(b, other)) return true;
    if (startsWith(a, other) && startsWith(b, one)) return true;
  }
  return false;
}

std::string LinkStandin::addRoute(const std::string& listen, const std::string& target) {
  Poco::Net::ServerSocket server;
  server.bind(Poco::Net::SocketAddress(listen), true);
  server.listen();
  std::string address = server.address().toString();
  std::thread([this, server, target]() mutable {
    for (;;) {
      try {
        StreamSocket socket = server.acceptConnection();
        std::thread([this, socket, target] { forward(socket, target); }).detach();
      } catch (const Poco::Exception&) {
        return;
      }
    }
  }).detach();
  return address;
}

void LinkStandin::forward(StreamSocket from, const std::string& target) {
  try {
    const std::string a = from.peerAddress().host().toString();
    const std::string b = Poco::Net::SocketAddress(target).host().toString();
    while (isCut(a, b)) {
      if (from.poll(0, Poco::Net::Socket::SELECT_ERROR)) return;
      std::this_thread::sleep_for(kCutPause);
    }
    StreamSocket to;
    to.connect(Poco::Net::SocketAddress(target), Poco::Timespan(kConnectMs));
    to.setNoDelay(true);
    from.setNoDelay(true);
    std::array<pollfd, 2> fds{pollfd{from.impl()->sockfd(), POLLIN, 0},
                              pollfd{to.impl()->sockfd(), POLLIN, 0}};
    for (;;) {
      if (isCut(a, b)) {
        std::this_thread::sleep_for(kCutPause);
        continue;
      }
      poll(fds.data(), fds.size(), kPollMs);
      if (isCut(a, b)) continue;
      if (fds[0].revents != 0 && !pump(from, to, delay_)) return;
      if (fds[1].revents != 0 && !pump(to, from, delay_)) return;
    }
  } catch (const Poco::Exception&) {
    // Either end has closed: both are closed.
  }
}

}  // namespace Standin
