// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/PeerTransport.h"

#include <utility>
#include <vector>

#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Net/OutgoingSocket.h"
#include "Hallchute/src/Net/PeerConnection.h"
#include "Hallchute/src/Net/PeerSession.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {
namespace {

constexpr int kBacklog = 128;
/// Connections on which nobody has shown the secret: a peer does so as soon as it is connected.
constexpr std::size_t kMaxStrangers = 64;
/// Memory of incomplete messages without a call of setMessageMemory(), in bytes.
constexpr std::size_t kDefaultMessageMemory = std::size_t{64} << 20U;

RequestMemoryLimits messageLimits(std::size_t bytes) {
  return RequestMemoryLimits::divide(bytes, PeerSession::kMaxMessageBytes);
}

}  // namespace

void PeerStream::send(std::string_view message) {
  if (!open_) return;
  if (PeerConnection* connection = transport_->find(connection_)) connection->send(id_, message);
}

void PeerStream::finish() {
  if (!open_) return;
  if (PeerConnection* connection = transport_->find(connection_)) connection->finish(id_);
}

void PeerStream::close() {
  if (!open_) return;
  open_ = false;
  onMessage = nullptr;
  onClosed = nullptr;
  if (PeerConnection* connection = transport_->find(connection_)) connection->close(id_);
}

PeerTransport::PeerTransport(EventLoop& loop, const std::string& listen, std::string secret,
                             Metrics* metrics)
    : loop_(loop),
      secret_(std::move(secret)),
      source_(Poco::Net::SocketAddress(listen).host(), 0),
      metrics_(metrics),
      messages_(messageLimits(kDefaultMessageMemory)),
      listener_(
          loop, listen, kBacklog, [this](const Poco::Net::StreamSocket& socket) { accept(socket); },
          metrics) {}

PeerTransport::~PeerTransport() {
  connections_.clear();
}

void PeerTransport::setMessageMemory(std::size_t bytes) {
  messages_.setLimits(messageLimits(bytes));
}

void PeerTransport::noteGivenUp(std::size_t bytes) {
  LogLine(LogLevel::info, "peer.messageGivenUp")
      .with("bytes", bytes)
      .with("held", messages_.held())
      .with("limit", messages_.limits().bytes);
  if (metrics_ != nullptr) metrics_->add("hallchute_peer_messages_given_up_total", "");
}

void PeerTransport::serve(std::string_view path, StreamHandler handler) {
  handlers_[std::string(path)] = std::move(handler);
}

const PeerTransport::StreamHandler* PeerTransport::findHandler(const std::string& path) const {
  const auto it = handlers_.find(path);
  return it == handlers_.end() ? nullptr : &it->second;
}

PeerConnection* PeerTransport::find(std::uint64_t connection) {
  const auto it = connections_.find(connection);
  return it == connections_.end() ? nullptr : it->second.get();
}

void PeerTransport::accept(const Poco::Net::StreamSocket& socket) {
  const std::uint64_t id = nextConnection_++;
  connections_[id] = std::make_unique<PeerConnection>(*this, id, PeerSession::Role::server, socket);
  strangers_.push_back(id);
  closeOldStrangers();
}

void PeerTransport::closeOldStrangers() {
  std::erase_if(strangers_, [this](std::uint64_t id) {
    const PeerConnection* connection = find(id);
    return connection == nullptr || connection->authenticated();
  });
  while (strangers_.size() > kMaxStrangers) {
    LogLine(LogLevel::info, "peer.strangerClosed").with("strangers", strangers_.size());
    if (metrics_ != nullptr) metrics_->add("hallchute_peer_strangers_closed_total", "");
    remove(strangers_.front());
    strangers_.erase(strangers_.begin());
  }
}

PeerConnection* PeerTransport::connectionTo(const std::string& address) {
  if (const auto it = outgoing_.find(address); it != outgoing_.end()) {
    if (PeerConnection* connection = find(it->second)) return connection;
  }
  try {
    Poco::Net::StreamSocket socket = makeOutgoingSocket(source_);
    socket.connectNB(Poco::Net::SocketAddress(address));
    const std::uint64_t id = nextConnection_++;
    connections_[id] =
        std::make_unique<PeerConnection>(*this, id, PeerSession::Role::client, socket);
    outgoing_[address] = id;
    return connections_[id].get();
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

PeerStreamPtr PeerTransport::open(const std::string& address, std::string_view path,
                                  std::string_view message) {
  if (PeerConnection* connection = connectionTo(address)) return connection->open(path, message);
  auto stream = std::make_shared<PeerStream>();
  stream->transport_ = this;
  stream->open_ = false;
  // Posted because the caller has not set the callbacks yet.
  loop_.post([stream] {
    if (stream->onClosed) stream->onClosed();
  });
  return stream;
}

void PeerTransport::disconnect(const std::string& address) {
  // Posted because the caller may be a callback of this connection.
  loop_.post([this, address] {
    const auto it = outgoing_.find(address);
    if (it != outgoing_.end()) remove(it->second);
  });
}

void PeerTransport::remove(std::uint64_t connection) {
  std::erase_if(outgoing_, [&](const auto& entry) { return entry.second == connection; });
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  // Erased before its destruction, whose callbacks may use the transport.
  const std::unique_ptr<PeerConnection> removed = std::move(it->second);
  connections_.erase(it);
}

}  // namespace Hallchute
