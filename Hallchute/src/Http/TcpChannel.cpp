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

#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Net/SocketLiveness.h"

namespace Hallchute {
namespace {

constexpr std::size_t kReadSize = 32U << 10U;

}  // namespace

TcpChannel::TcpChannel(EventLoop& loop, const Poco::Net::StreamSocket& socket,
                       TcpChannelOwner& owner)
    : loop_(loop), owner_(owner), socket_(socket), fd_(socket.impl()->sockfd()) {
  socket_.setBlocking(false);
  socket_.setNoDelay(true);
  enableDeadPeerDetection(socket_);
  loop_.watch(fd_, POLLIN, [this](short events) { onEvents(events); });
}

TcpChannel::TcpChannel(EventLoop& loop, const std::string& address, const std::string& source,
                       Millis limit, TcpChannelOwner& owner)
    : loop_(loop), owner_(owner), connecting_(true) {
  try {
    if (!source.empty()) socket_.impl()->bind(Poco::Net::SocketAddress(source, 0), false);
    socket_.connectNB(Poco::Net::SocketAddress(address));
    fd_ = socket_.impl()->sockfd();
    socket_.setNoDelay(true);
    disableDeadPeerDetection(socket_);
    loop_.watch(fd_, POLLOUT, [this](short events) { onEvents(events); });
    connectTimer_ = loop_.after(limit, [this] {
      connectTimer_ = 0;
      fail(ChannelEnd::notConnected);
    });
  } catch (const Poco::Exception&) {
    // The owner is told from the loop, as for any other connection that doesn't come up.
    loop_.post([this, alive = alive_] {
      if (*alive) fail(ChannelEnd::notConnected);
    });
  }
}

TcpChannel::~TcpChannel() {
  *alive_ = false;
  loop_.cancel(connectTimer_);
  if (fd_ >= 0) loop_.unwatch(fd_);
}

void TcpChannel::updateWatch() {
  const bool writing = connecting_ || !out_.empty();
  loop_.setEvents(fd_, static_cast<short>((connecting_ ? 0 : POLLIN) | (writing ? POLLOUT : 0)));
}

void TcpChannel::send(std::string_view bytes) {
  if (ended_) return;
  out_.append(bytes);
  if (!connecting_) writeSome();
}

void TcpChannel::finishSending() {
  finishing_ = true;
  shutWhenSent();
}

void TcpChannel::shutWhenSent() {
  if (!finishing_ || ended_ || connecting_ || !out_.empty()) return;
  ::shutdown(fd_, SHUT_WR);
}

bool TcpChannel::acknowledged() const {
  return fd_ >= 0 && !connecting_ && unacknowledged() == 0;
}

std::size_t TcpChannel::unacknowledged() const {
  int inKernel = 0;
  if (fd_ < 0 || ::ioctl(fd_, SIOCOUTQ, &inKernel) != 0) inKernel = 0;
  return out_.size() + static_cast<std::size_t>(inKernel);
}

bool TcpChannel::isOpenAndIdle() const {
  if (ended_ || connecting_) return false;
  char byte = 0;
  const ssize_t got = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void TcpChannel::abort() {
  ended_ = true;
  if (fd_ < 0) return;
  loop_.unwatch(fd_);
  const linger noLinger{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
  socket_.close();
  fd_ = -1;
}

void TcpChannel::fail(ChannelEnd end) {
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
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) readSome();
  if (*alive && !ended_ && (events & POLLOUT) != 0) writeSome();
}

void TcpChannel::finishConnect() {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    fail(ChannelEnd::notConnected);
    return;
  }
  connecting_ = false;
  loop_.cancel(connectTimer_);
  connectTimer_ = 0;
  updateWatch();
  if (!out_.empty()) writeSome();
}

void TcpChannel::readSome() {
  static thread_local std::array<char, kReadSize> buffer;
  const ssize_t got = ::recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (got > 0) {
    owner_.onChannelBytes({buffer.data(), static_cast<std::size_t>(got)});
    return;
  }
  if (got == 0) {
    fail(ChannelEnd::peerClosed);
    return;
  }
  if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) fail(ChannelEnd::broken);
}

void TcpChannel::writeSome() {
  while (!out_.empty()) {
    const ssize_t put = ::send(fd_, out_.data(), out_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (put > 0) {
      sentBytes_ += static_cast<std::uint64_t>(put);
      out_.erase(0, static_cast<std::size_t>(put));
      continue;
    }
    if (errno == EINTR) continue;
    if (errno == EAGAIN || errno == EWOULDBLOCK) break;
    // The read side tells what happened; the owner hears of it from the loop, not from send().
    loop_.post([this, alive = alive_] {
      if (*alive) fail(ChannelEnd::broken);
    });
    return;
  }
  updateWatch();
  if (!out_.empty()) return;
  shutWhenSent();
  owner_.channelDrained();
}

}  // namespace Hallchute
