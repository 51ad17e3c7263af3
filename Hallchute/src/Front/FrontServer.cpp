// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Front/FrontServer.h"

#include <algorithm>
#include <vector>

#include "Hallchute/src/Front/FrontConnection.h"
#include "Hallchute/src/Front/FrontHandler.h"
#include "Hallchute/src/Gateway/PlacePolicy.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {
namespace {

/// Length of the accept queue: when it is full, callers wait seconds for the SYN retransmission.
constexpr int kBacklog = 1'024;
/// Bytes of responses buffered for all callers that don't read theirs: an eighth of the smallest
/// hosts' memory, and room for two of the largest responses.
constexpr std::size_t kMaxUnsentBytes = std::size_t{16} << 20U;
/// What is buffered for one caller below this isn't counted.
constexpr std::size_t kFreeUnsentBytes = std::size_t{32} << 10U;

}  // namespace

FrontServer::FrontServer(EventLoop& loop, const std::string& listen, FrontHandler& handler,
                         Metrics& metrics, RequestMemory& memory)
    : loop_(loop),
      handler_(handler),
      metrics_(metrics),
      memory_(memory),
      listener_(
          loop, listen, kBacklog, [this](const Poco::Net::StreamSocket& socket) { accept(socket); },
          &metrics) {}

FrontServer::~FrontServer() = default;

void FrontServer::accept(const Poco::Net::StreamSocket& socket) {
  if (connections_.size() >= limits_.connections && !freePlace()) {
    metrics_.add("hallchute_front_connections_refused_total", "");
    return;
  }
  const std::uint64_t id = nextConnection_++;
  connections_[id] = std::make_unique<FrontConnection>(*this, id, socket);
}

void FrontServer::setReceiveBuffer(std::size_t bytes) {
  receiveBuffer_ = bytes;
  listener_.setReceiveBuffer(bytes);
}

bool FrontServer::freePlace() {
  std::vector<std::uint64_t> ids;
  std::vector<HeldPlace> places;
  for (const auto& [id, connection] : connections_) {
    ids.push_back(id);
    places.push_back(connection->place());
  }
  const Instant now = clockNow();
  while (const auto chosen = placeToGiveUp(places, limits_.headTimeout, now)) {
    HeldPlace& place = places[*chosen];
    FrontConnection& connection = *connections_.at(ids[*chosen]);
    if (place.use == PlaceUse::idle && connection.holdsInput()) {
      place.use = PlaceUse::inProgress;
      continue;
    }
    LogLine(LogLevel::info, "caller.displaced")
        .with("use", describe(place.use))
        .with("sinceMs", std::chrono::duration_cast<Millis>(now - place.since))
        .with("received", place.received)
        .with("connections", connections_.size());
    metrics_.add("hallchute_front_displaced_total",
                 "use=\"" + std::string(describe(place.use)) + "\"");
    connection.remove();
    return true;
  }
  return false;
}

void FrontServer::remove(std::uint64_t connection) {
  // May be called from a callback of this connection: destroying it is deferred to the event loop.
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  std::shared_ptr<FrontConnection> removed = std::move(it->second);
  connections_.erase(it);
  loop_.post([removed] {});
}

void FrontServer::noteUnsent() {
  if (sheds_) return;
  sheds_ = true;
  loop_.post([this] {
    sheds_ = false;
    shedUnsent();
  });
}

void FrontServer::shedUnsent() {
  std::size_t all = 0;
  std::vector<FrontConnection*> large;
  for (const auto& [id, connection] : connections_) {
    if (connection->unsent() <= kFreeUnsentBytes) continue;
    all += connection->unsent();
    large.push_back(connection.get());
  }
  if (all <= kMaxUnsentBytes) return;
  std::sort(large.begin(), large.end(), [](const FrontConnection* a, const FrontConnection* b) {
    return a->unsent() > b->unsent();
  });
  for (FrontConnection* connection : large) {
    if (all <= kMaxUnsentBytes) break;
    all -= connection->unsent();
    metrics_.add("hallchute_front_slow_callers_dropped_total", "");
    connection->dropConnection();
  }
}

void FrontServer::countRejected(int status) {
  metrics_.add("hallchute_front_refused_total", "status=\"" + std::to_string(status) + "\"");
}

void FrontServer::countIdleClosed() {
  metrics_.add("hallchute_front_idle_closed_total", "");
}

void FrontServer::countGivenUp(std::string_view what) {
  metrics_.add("hallchute_front_given_up_total", "what=\"" + std::string(what) + "\"");
}

std::size_t FrontServer::busy() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& entry) { return entry.second->busy(); }));
}

void FrontServer::closeIdle() {
  for (const auto& [id, connection] : connections_) connection->closeIfIdle();
}

void FrontServer::failUnanswered(int status) {
  for (const auto& [id, connection] : connections_) connection->failUnanswered(status);
}

}  // namespace Hallchute
