// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/SocketLiveness.h"

#include <Poco/Net/Socket.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Hallchute {
namespace {

/// Seconds of idleness before the first probe; the least that the kernel takes.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeEverySeconds = 1;
constexpr int kProbes = 2;
/// Longer than a lost packet and its second retransmission, shorter than callers wait.
constexpr int kUnacknowledgedMs = 2'500;

/// Longer than any route's time limit: the owner's timers come first.
constexpr int kUnacknowledgedOwnedMs = 60'000;

void setOption(int socket, int level, int name, int value) {
  // A kernel without the option only notices later; nothing depends on it.
  ::setsockopt(socket, level, name, &value, sizeof value);
}

}  // namespace

void enableDeadPeerDetection(Poco::Net::Socket& socket) {
  const int fd = socket.impl()->sockfd();
  setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kProbeEverySeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

void disableDeadPeerDetection(Poco::Net::Socket& socket) {
  const int fd = socket.impl()->sockfd();
  setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 0);
  setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedOwnedMs);
}

}  // namespace Hallchute
