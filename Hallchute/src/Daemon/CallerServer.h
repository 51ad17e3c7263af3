// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_CALLERSERVER_H
#define HALLCHUTE_DAEMON_CALLERSERVER_H

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/ThreadPool.h>

#include <memory>
#include <string>

namespace Poco::Net {
class HTTPServer;
}  // namespace Poco::Net

namespace Hallchute {

struct CallerServices;

/// \brief The HTTP server for callers, with one thread per connection.
/// \ingroup Daemon
class CallerServer {
 public:
  CallerServer(CallerServices& services, const std::string& listen, int maxConnections);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  void start();
  /// \brief Accepts no more connections; open ones are still served.
  void stopAccepting();
  int connections() const;

 private:
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_CALLERSERVER_H
