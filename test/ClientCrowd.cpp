// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/ClientCrowd.h"

#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

namespace TestSupport {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTricklePause{100};
constexpr milliseconds kIdlePause{1};

}  // namespace

ClientCrowd::ClientCrowd(const std::string& address, std::size_t clients, ClientScript script)
    : script_(std::move(script)) {
  for (std::size_t i = 0; i < clients; ++i) {
    Client client{Poco::Net::StreamSocket(Poco::Net::SocketAddress(address))};
    client.socket.setNoDelay(true);
    clients_.push_back(std::move(client));
  }
  connected_ = clients;
  thread_ = std::thread([this] { run(); });
}

ClientCrowd::~ClientCrowd() {
  stopping_ = true;
  thread_.join();
}

void ClientCrowd::awaitSent() const {
  while (!sent_) std::this_thread::sleep_for(kIdlePause);
}

const std::string& ClientCrowd::partOf(const Client& client) const {
  if (client.part == 0) return script_.start;
  if (client.part <= script_.pieces) return script_.piece;
  return client.part == script_.pieces + 1 ? script_.end : script_.trickle;
}

bool ClientCrowd::hasSent(const Client& client) const {
  return !client.open || client.part > script_.pieces + 1;
}

void ClientCrowd::run() {
  auto lastTrickle = std::chrono::steady_clock::now();
  while (!stopping_) {
    const auto now = std::chrono::steady_clock::now();
    const bool trickles = now - lastTrickle >= kTricklePause;
    if (trickles) lastTrickle = now;
    for (Client& client : clients_) {
      if (client.open) takeTurn(client, trickles);
    }
    connected_ = static_cast<std::size_t>(std::count_if(
        clients_.begin(), clients_.end(), [](const Client& client) { return client.open; }));
    sent_ = std::all_of(clients_.begin(), clients_.end(),
                        [this](const Client& client) { return hasSent(client); });
    if (sent_) std::this_thread::sleep_for(kIdlePause);
  }
}

void ClientCrowd::takeTurn(Client& client, bool trickles) {
  const int fd = client.socket.impl()->sockfd();
  std::array<char, 16'384> discarded;
  const ssize_t got = ::recv(fd, discarded.data(), discarded.size(), MSG_DONTWAIT);
  const bool ended = got == 0 || (got < 0 && errno != EAGAIN);
  const std::string& part = partOf(client);
  const bool sends = !ended && (!hasSent(client) || trickles);
  const ssize_t put = sends ? ::send(fd, part.data() + client.offset, part.size() - client.offset,
                                     MSG_DONTWAIT | MSG_NOSIGNAL)
                            : 0;
  if (ended || (put < 0 && errno != EAGAIN)) {
    client.socket.close();
    client.open = false;
    return;
  }
  if (put > 0) client.offset += static_cast<std::size_t>(put);
  if (client.offset < part.size()) return;
  client.offset = 0;
  if (!hasSent(client)) ++client.part;
}

}  // namespace TestSupport
