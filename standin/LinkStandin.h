// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_STANDIN_LINKSTANDIN_H
#define HALLCHUTE_STANDIN_LINKSTANDIN_H

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "standin/StandinServer.h"

namespace Standin {

/// \brief The network between processes: forwards TCP, and cuts it between places.
///
/// A route listens at one address and forwards to another. A place is the start of an IP, as
/// `127.1.1.`; a cut between two places stops the bytes of their connections, both ways, and
/// keeps them open, as a broken network does.
class LinkStandin {
 public:
  /// \param delay how much later bytes arrive, on each connection and way.
  explicit LinkStandin(std::chrono::microseconds delay = {}) : delay_(delay) {}
  void handle(const Request& request, Poco::Net::HTTPServerResponse& response);

  /// \param listen port 0 takes one from the operating system.
  /// \returns where it listens. The thread of a route runs until the process ends.
  std::string addRoute(const std::string& listen, const std::string& target);
  void cut(const std::string& a, const std::string& b);
  void healAll();

 private:
  void forward(Poco::Net::StreamSocket from, const std::string& target);
  bool isCut(const std::string& a, const std::string& b);

  std::chrono::microseconds delay_;
  std::mutex mutex_;
  std::set<std::pair<std::string, std::string>> cuts_;
};

}  // namespace Standin

#endif  // HALLCHUTE_STANDIN_LINKSTANDIN_H
