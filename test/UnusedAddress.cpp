// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "UnusedAddress.h"

#include <Poco/Net/ServerSocket.h>

namespace Hallchute {

std::string unusedAddress() {
  Poco::Net::ServerSocket probe;
  probe.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  return probe.address().toString();
}

}  // namespace Hallchute
