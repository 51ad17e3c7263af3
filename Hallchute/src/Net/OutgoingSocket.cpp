// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/OutgoingSocket.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace Hallchute {
namespace {

void setOption(int socket, int level, int name) {
  const int on = 1;
  // Errors are ignored: without the option a port is only more likely to be found taken.
  ::setsockopt(socket, level, name, &on, sizeof on);
}

}  // namespace

Poco::Net::StreamSocket makeOutgoingSocket(const Poco::Net::SocketAddress& source) {
  Poco::Net::StreamSocket socket(source.family());
  const int fd = socket.impl()->sockfd();
  setOption(fd, SOL_SOCKET, SO_REUSEADDR);
  setOption(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT);
  if (::bind(fd, source.addr(), source.length()) != 0) {
    const int error = errno;
    throw Poco::Net::NetException("can't bind to " + source.toString(),
                                  std::generic_category().message(error), error);
  }
  return socket;
}

}  // namespace Hallchute
