// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/SocketLiveness.h"

#include <Poco/Net/Socket.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Hallchute {
namespace {

/// Idle time before the first keepalive probe; the minimum that Linux accepts.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
/// Outlasts a lost packet and its second retransmission, but ends before callers time out.
constexpr int kUserTimeoutMs = 2'500;

/// Longer than the timeout of any route, so that the owner's timers expire first.
constexpr int kOwnedUserTimeoutMs = 60'000;

void setOption(int socket, int level, int name, int value) {
  // Errors are ignored: without the option the kernel only detects a dead peer later.
  ::setsockopt(socket, level, name, &value, sizeof value);
}

}  // namespace

void enableIdlePeerDetection(Poco::Net::Socket& socket) {
  const int fd = socket.impl()->sockfd();
  setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

void enableDeadPeerDetection(Poco::Net::Socket& socket) {
  enableIdlePeerDetection(socket);
  setOption(socket.impl()->sockfd(), IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

void disableDeadPeerDetection(Poco::Net::Socket& socket) {
  const int fd = socket.impl()->sockfd();
  setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 0);
  setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kOwnedUserTimeoutMs);
}

}  // namespace Hallchute
