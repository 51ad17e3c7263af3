// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/CallerServer.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include "Hallchute/src/Daemon/CallerServices.h"
#include "Hallchute/src/Daemon/CompletionHandler.h"
#include "Hallchute/src/Daemon/HealthHandler.h"
#include "Hallchute/src/Daemon/PlainHandler.h"
#include "Hallchute/src/Daemon/Problem.h"
#include "Hallchute/src/Daemon/RequestHandler.h"

namespace Hallchute {
namespace {

/// Listen backlog: connections that may be waiting to be accepted.
constexpr int kBacklog = 1'024;
constexpr int kIdleThreadSeconds = 30;
/// The connection of a caller that sends nothing for this long is closed.
constexpr int kReceiveTimeoutSeconds = 10;
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kRequestPathPrefix = "/v1/requests/";

/// Answers requests for paths that no other handler serves.
class UnknownPathHandler final : public Poco::Net::HTTPRequestHandler {
 public:
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    sendProblem(response,
                {RefusalReason::notFound, "there is nothing at " + request.getURI(),
                 RunOutcome::notRun, std::nullopt},
                "");
  }
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(CallerServices& services) : services_(services) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override {
    const std::string& target = request.getURI();
    const std::string& method = request.getMethod();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/healthz" || path == "/readyz") {
      return new HealthHandler(path == "/healthz" || !services_.draining);
    }
    const bool post = method == Poco::Net::HTTPRequest::HTTP_POST;
    if (post && path == "/v1/chat/completions") return new CompletionHandler(services_, true);
    if (post && path == "/v1/completions") return new CompletionHandler(services_, false);
    if (path.rfind(kRequestPathPrefix, 0) == 0) {
      return new RequestHandler(services_, path.substr(kRequestPathPrefix.size()));
    }
    if (path.rfind(kServicePrefix, 0) == 0) return makePlain(target.substr(kServicePrefix.size()));
    return new UnknownPathHandler;
  }

 private:
  Poco::Net::HTTPRequestHandler* makePlain(const std::string& serviceAndPath) {
    const std::size_t slash = serviceAndPath.find('/');
    const std::string service = serviceAndPath.substr(0, slash);
    return new PlainHandler(services_, service,
                            slash == std::string::npos ? "/" : serviceAndPath.substr(slash));
  }

  CallerServices& services_;
};

}  // namespace

CallerServer::CallerServer(CallerServices& services, const std::string& listen, int maxConnections)
    : threads_(4, maxConnections + 1, kIdleThreadSeconds) {
  Poco::Net::ServerSocket socket;
  // Without SO_REUSEPORT, which lets another process listen here too.
  socket.bind(Poco::Net::SocketAddress(listen), true, false);
  socket.listen(kBacklog);
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(maxConnections);
  params->setMaxQueued(maxConnections);
  params->setTimeout(Poco::Timespan(kReceiveTimeoutSeconds, 0));
  // A handler may answer before it has read the body, which Poco would then parse as the next
  // request. Connections are therefore not reused.
  params->setKeepAlive(false);
  server_ = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(services), threads_, socket,
                                                    params);
}

CallerServer::~CallerServer() {
  server_->stopAll(true);
}

void CallerServer::start() {
  server_->start();
}

void CallerServer::stopAccepting() {
  server_->stop();
}

int CallerServer::connections() const {
  return server_->currentConnections();
}

}  // namespace Hallchute
