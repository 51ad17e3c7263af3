// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/OperatorServer.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>

#include "Hallchute/src/Daemon/HealthHandler.h"
#include "Hallchute/src/Daemon/OperatorHandler.h"
#include "Hallchute/src/Daemon/OperatorServices.h"

namespace Hallchute {
namespace {

constexpr int kMaxThreads = 8;
constexpr int kConnectionTimeoutSeconds = 10;

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(OperatorServices& services) : services_(services) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override {
    if (request.getURI() == "/healthz") return new HealthHandler(true);
    if (request.getURI() == "/readyz") return new HealthHandler(!services_.draining());
    return new OperatorHandler(services_);
  }

 private:
  OperatorServices& services_;
};

}  // namespace

OperatorServer::OperatorServer(OperatorServices& services, const std::string& listen)
    : threads_(2, kMaxThreads) {
  Poco::Net::ServerSocket socket;
  // Without SO_REUSEPORT, which lets another process listen here too.
  socket.bind(Poco::Net::SocketAddress(listen), true, false);
  socket.listen();
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads - 1);
  params->setTimeout(Poco::Timespan(kConnectionTimeoutSeconds, 0));
  params->setKeepAlive(false);
  server_ = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(services), threads_, socket,
                                                    params);
}

OperatorServer::~OperatorServer() {
  server_->stopAll(true);
}

void OperatorServer::start() {
  server_->start();
}

}  // namespace Hallchute
