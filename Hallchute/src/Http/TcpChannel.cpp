// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Http/TcpChannel.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Net/OutgoingSocket.h"
#include "Hallchute/src/Net/SocketLiveness.h"

namespace Hallchute {
namespace {

constexpr std::size_t kReceiveBufferBytes = 32U << 10U;

}  // namespace

TcpChannel::TcpChannel(EventLoop& loop, const Poco::Net::StreamSocket& socket,
                       TcpChannelOwner& owner)
    : loop_(loop), owner_(owner), socket_(socket), fd_(socket.impl()->sockfd()) {
  socket_.setBlocking(false);
  socket_.setNoDelay(true);
  enableIdlePeerDetection(socket_);
  loop_.watch(fd_, POLLIN, [this](short events) { onEvents(events); });
}

TcpChannel::TcpChannel(EventLoop& loop, const std::string& address, const std::string& source,
                       Millis connectTimeout, TcpChannelOwner& owner)
    : loop_(loop), owner_(owner), connecting_(true) {
  try {
    if (!source.empty()) socket_ = makeOutgoingSocket(Poco::Net::SocketAddress(source, 0));
    socket_.connectNB(Poco::Net::SocketAddress(address));
    fd_ = socket_.impl()->sockfd();
    socket_.setNoDelay(true);
    disableDeadPeerDetection(socket_);
    loop_.watch(fd_, POLLOUT, [this](short events) { onEvents(events); });
    connectTimer_ = loop_.after(connectTimeout, [this] {
      connectTimer_ = 0;
      reportEnd(ChannelEnd::notConnected);
    });
  } catch (const Poco::Exception&) {
    // Notify the owner from the event loop, as for any other connection that can't be established.
    loop_.post([this, alive = alive_] {
      if (*alive) reportEnd(ChannelEnd::notConnected);
    });
  }
}

TcpChannel::~TcpChannel() {
  *alive_ = false;
  loop_.cancel(connectTimer_);
  if (fd_ >= 0) loop_.unwatch(fd_);
}

void TcpChannel::updateWatch() {
  const bool writing = connecting_ || !sendQueue_.empty();
  const int reading = reading_ ? POLLIN : POLLRDHUP;
  loop_.setEvents(fd_, static_cast<short>((connecting_ ? 0 : reading) | (writing ? POLLOUT : 0)));
}

void TcpChannel::setReading(bool reading) {
  if (reading_ == reading || ended_) return;
  reading_ = reading;
  updateWatch();
}

void TcpChannel::send(std::string_view bytes) {
  send(bytes, nullptr);
}

void TcpChannel::send(std::string_view first, SharedBytes rest) {
  if (ended_) return;
  sendQueue_.append(first);
  sendQueue_.append(std::move(rest));
  if (!connecting_) sendPending();
}

void TcpChannel::shutdownSend() {
  shutdownRequested_ = true;
  shutdownIfDrained();
}

void TcpChannel::shutdownIfDrained() {
  if (!shutdownRequested_ || ended_ || connecting_ || !sendQueue_.empty()) return;
  ::shutdown(fd_, SHUT_WR);
}

bool TcpChannel::acknowledged() const {
  return fd_ >= 0 && !connecting_ && unacknowledged() == 0;
}

std::size_t TcpChannel::unacknowledged() const {
  int unacknowledgedInKernel = 0;
  if (fd_ < 0 || ::ioctl(fd_, SIOCOUTQ, &unacknowledgedInKernel) != 0) unacknowledgedInKernel = 0;
  return sendQueue_.size() + static_cast<std::size_t>(unacknowledgedInKernel);
}

bool TcpChannel::isOpenAndIdle() const {
  if (ended_ || connecting_) return false;
  char byte = 0;
  const ssize_t received = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void TcpChannel::abort() {
  ended_ = true;
  sendQueue_.clear();
  if (fd_ < 0) return;
  loop_.unwatch(fd_);
  const linger noLinger{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
  socket_.close();
  fd_ = -1;
}

void TcpChannel::reportEnd(ChannelEnd end) {
  if (ended_) return;
  ended_ = true;
  loop_.cancel(connectTimer_);
  if (fd_ >= 0) loop_.unwatch(fd_);
  owner_.onChannelEnded(end);
}

void TcpChannel::onEvents(short events) {
  const std::shared_ptr<bool> alive = alive_;
  if (connecting_) {
    finishConnect();
    return;
  }
  if (!reading_ && (events & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
    reportEnd((events & POLLERR) != 0 ? ChannelEnd::broken : ChannelEnd::peerClosed);
    return;
  }
  if (reading_ && (events & (POLLIN | POLLHUP | POLLERR)) != 0) receiveAvailable();
  if (*alive && !ended_ && (events & POLLOUT) != 0) sendPending();
}

void TcpChannel::finishConnect() {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    refused_ = error == ECONNREFUSED;
    reportEnd(ChannelEnd::notConnected);
    return;
  }
  connecting_ = false;
  loop_.cancel(connectTimer_);
  connectTimer_ = 0;
  updateWatch();
  owner_.onChannelConnected();
  if (!sendQueue_.empty()) sendPending();
}

void TcpChannel::receiveAvailable() {
  static thread_local std::array<char, kReceiveBufferBytes> buffer;
  const ssize_t received = ::recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (received > 0) {
    owner_.onChannelBytes({buffer.data(), static_cast<std::size_t>(received)});
    return;
  }
  if (received == 0) {
    reportEnd(ChannelEnd::peerClosed);
    return;
  }
  if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) reportEnd(ChannelEnd::broken);
}

void TcpChannel::sendPending() {
  while (!sendQueue_.empty()) {
    const std::string_view next = sendQueue_.front();
    const ssize_t sent = ::send(fd_, next.data(), next.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
      sentBytes_ += static_cast<std::uint64_t>(sent);
      sendQueue_.consume(static_cast<std::size_t>(sent));
      continue;
    }
    if (errno == EINTR) continue;
    if (errno == EAGAIN || errno == EWOULDBLOCK) break;
    // Notify the owner from the event loop, so that send() never calls back into it.
    loop_.post([this, alive = alive_] {
      if (*alive) reportEnd(ChannelEnd::broken);
    });
    return;
  }
  updateWatch();
  if (!sendQueue_.empty()) return;
  shutdownIfDrained();
  owner_.onChannelDrained();
}

}  // namespace Hallchute
