// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/PeerConnection.h"

#include <Poco/Net/NetException.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Net/PeerTransport.h"
#include "Hallchute/src/Net/SocketLiveness.h"

namespace Hallchute {
namespace {

constexpr std::size_t kReadBytes = 64U << 10U;

}  // namespace

PeerConnection::PeerConnection(PeerTransport& transport, std::uint64_t id, PeerSession::Role role,
                               const Poco::Net::StreamSocket& socket)
    : transport_(transport),
      id_(id),
      socket_(socket),
      session_(role, transport.secret_, events(), &transport.messages_) {
  socket_.setBlocking(false);
  socket_.setNoDelay(true);
  enableDeadPeerDetection(socket_);
  transport_.loop_.watch(socket_.impl()->sockfd(), POLLIN,
                         [&transport = transport_, id = id_](short ready) {
                           if (PeerConnection* connection = transport.find(id)) {
                             connection->onReady(ready);
                           }
                         });
}

PeerConnection::~PeerConnection() {
  transport_.loop_.unwatch(socket_.impl()->sockfd());
  const auto streams = std::move(streams_);
  for (const auto& [id, stream] : streams) {
    if (!stream->open_) continue;
    stream->open_ = false;
    if (stream->onClosed)
      transport_.loop_.post([stream = stream] {
        if (stream->onClosed) stream->onClosed();
      });
  }
}

PeerSession::Events PeerConnection::events() {
  PeerSession::Events events;
  events.onOpened = [this](std::int32_t id, const std::string& path) {
    authenticated_ = true;
    const PeerTransport::StreamHandler* streamHandler = transport_.findHandler(path);
    if (streamHandler == nullptr) {
      session_.reset(id);
      return;
    }
    auto stream = std::make_shared<PeerStream>();
    stream->transport_ = &transport_;
    stream->connection_ = id_;
    stream->id_ = id;
    streams_[id] = stream;
    (*streamHandler)(stream);
  };
  events.onMessage = [this](std::int32_t id, const std::string& message) {
    const auto it = streams_.find(id);
    if (it == streams_.end()) return;
    const PeerStreamPtr stream = it->second;
    // Copied because the handler may replace or clear itself.
    const auto handler = stream->onMessage;
    if (handler) handler(message);
  };
  events.onClosed = [this](std::int32_t id) {
    const auto it = streams_.find(id);
    if (it == streams_.end()) return;
    const PeerStreamPtr stream = it->second;
    streams_.erase(it);
    if (!stream->open_) return;
    stream->open_ = false;
    const auto handler = stream->onClosed;
    if (handler) handler();
  };
  events.onGivenUp = [this](std::size_t bytes) {
    transport_.noteGivenUp(bytes);
    scheduleFlush();
  };
  return events;
}

PeerStreamPtr PeerConnection::open(std::string_view path, std::string_view message) {
  auto stream = std::make_shared<PeerStream>();
  stream->transport_ = &transport_;
  stream->connection_ = id_;
  stream->id_ = session_.open(path);
  if (stream->id_ < 0) {
    stream->open_ = false;
    transport_.loop_.post([stream] {
      if (stream->onClosed) stream->onClosed();
    });
    return stream;
  }
  streams_[stream->id_] = stream;
  send(stream->id_, message);
  return stream;
}

void PeerConnection::send(std::int32_t stream, std::string_view message) {
  session_.send(stream, message);
  scheduleFlush();
}

void PeerConnection::finish(std::int32_t stream) {
  session_.finish(stream);
  scheduleFlush();
}

void PeerConnection::close(std::int32_t stream) {
  session_.reset(stream);
  scheduleFlush();
}

/// Posted to the loop because flushing inside a session callback would re-enter the session.
void PeerConnection::scheduleFlush() {
  if (flushScheduled_) return;
  flushScheduled_ = true;
  PeerTransport& transport = transport_;
  transport.loop_.post([&transport, id = id_] {
    if (PeerConnection* connection = transport.find(id)) connection->flushOrFail();
  });
}

void PeerConnection::flushOrFail() {
  flushScheduled_ = false;
  if (!flush()) fail();
}

bool PeerConnection::flush() {
  for (;;) {
    if (output_.empty()) output_ = session_.takeOutput();
    if (output_.empty()) break;
    const ssize_t sent =
        ::send(socket_.impl()->sockfd(), output_.data(), output_.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      const bool retryLater = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
      if (!retryLater) return false;
      break;
    }
    transport_.bytesSent_ += static_cast<std::uint64_t>(sent);
    output_.erase(0, static_cast<std::size_t>(sent));
  }
  updateWatch();
  return true;
}

void PeerConnection::updateWatch() {
  const auto events = static_cast<short>(output_.empty() ? POLLIN : POLLIN | POLLOUT);
  transport_.loop_.setEvents(socket_.impl()->sockfd(), events);
}

void PeerConnection::onReady(short events) {
  if ((events & (POLLERR | POLLNVAL)) != 0) {
    fail();
    return;
  }
  if ((events & (POLLIN | POLLHUP)) != 0 && !readAll()) {
    fail();
    return;
  }
  if (!flush()) fail();
}

bool PeerConnection::readAll() {
  std::array<char, kReadBytes> buffer;
  for (;;) {
    const ssize_t received = ::recv(socket_.impl()->sockfd(), buffer.data(), buffer.size(), 0);
    if (received == 0) return false;
    if (received < 0) return errno == EAGAIN || errno == EWOULDBLOCK;
    transport_.bytesReceived_ += static_cast<std::uint64_t>(received);
    if (!session_.receive({buffer.data(), static_cast<std::size_t>(received)})) return false;
  }
}

void PeerConnection::fail() {
  transport_.remove(id_);
}

}  // namespace Hallchute
