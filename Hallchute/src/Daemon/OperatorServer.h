// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_OPERATORSERVER_H
#define HALLCHUTE_DAEMON_OPERATORSERVER_H

#include <Poco/ThreadPool.h>

#include <memory>
#include <string>

namespace Poco::Net {
class HTTPServer;
}  // namespace Poco::Net

namespace Hallchute {

struct OperatorServices;

/// \brief The HTTP server of the operator API, which has its own listen address.
/// \ingroup Daemon
class OperatorServer {
 public:
  OperatorServer(OperatorServices& services, const std::string& listen);
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;
  void start();

 private:
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_OPERATORSERVER_H
