// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Front/FrontServer.h"

#include <algorithm>
#include <vector>

#include "Hallchute/src/Front/FrontConnection.h"
#include "Hallchute/src/Front/FrontHandler.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {
namespace {

/// Length of the accept queue: when it is full, callers wait seconds for the SYN retransmission.
constexpr int kBacklog = 1'024;

}  // namespace

FrontServer::FrontServer(EventLoop& loop, const std::string& listen, FrontHandler& handler,
                         Metrics& metrics)
    : loop_(loop),
      handler_(handler),
      metrics_(metrics),
      listener_(
          loop, listen, kBacklog, [this](const Poco::Net::StreamSocket& socket) { accept(socket); },
          &metrics) {}

FrontServer::~FrontServer() = default;

void FrontServer::accept(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= limits_.connections) {
    metrics_.add("hallchute_front_connections_refused_total", "");
    return;
  }
  const std::uint64_t id = nextConnection_++;
  connections_[id] = std::make_unique<FrontConnection>(*this, id, socket);
}

void FrontServer::remove(std::uint64_t connection) {
  // May be called from a callback of this connection: destroying it is deferred to the event loop.
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  std::shared_ptr<FrontConnection> removed = std::move(it->second);
  connections_.erase(it);
  loop_.post([removed] {});
}

void FrontServer::countRejected(int status) {
  metrics_.add("hallchute_front_refused_total", "status=\"" + std::to_string(status) + "\"");
}

void FrontServer::countIdleClosed() {
  metrics_.add("hallchute_front_idle_closed_total", "");
}

std::size_t FrontServer::busy() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return entry.second->busy(); }));
}

void FrontServer::closeIdle() {
  for (const auto& [id, connection] : connections_) connection->closeIfIdle();
}

}  // namespace Hallchute
