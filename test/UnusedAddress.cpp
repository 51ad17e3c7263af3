// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "UnusedAddress.h"

#include <Poco/Net/ServerSocket.h>

#include <mutex>
#include <set>
#include <vector>

namespace Hallchute {

std::string unusedAddress() {
  static std::mutex mutex;
  static std::vector<Poco::Net::ServerSocket> held;
  Poco::Net::ServerSocket socket;
  // Bound without a listener, it refuses connections, lets a listener of SO_REUSEADDR bind, and
  // keeps the kernel from giving the port to any other socket.
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
  const std::lock_guard lock(mutex);
  held.push_back(socket);
  return socket.address().toString();
}

std::string newAddress(const std::string& ip) {
  static std::mutex mutex;
  static std::set<std::string> given;
  const std::lock_guard lock(mutex);
  std::string address;
  do {
    Poco::Net::ServerSocket probe;
    probe.bind(Poco::Net::SocketAddress(ip, 0), true);
    address = probe.address().toString();
  } while (!given.insert(address).second);
  return address;
}

}  // namespace Hallchute
