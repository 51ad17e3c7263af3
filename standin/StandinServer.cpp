// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "standin/StandinServer.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <signal.h>

#include <sstream>

#include "Hallchute/src/Settings/JsonTree.h"

namespace Standin {
namespace {

constexpr int kMaxThreads = 600;
constexpr int kBacklog = 1'024;

class FunctionHandler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit FunctionHandler(const Handler& handler) : handler_(handler) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().setNoDelay(true);
    const Poco::URI uri(request.getURI());
    const auto parameters = uri.getQueryParameters();
    const auto query = [&](const std::string& name, const std::string& fallback) {
      for (const auto& [key, value] : parameters) {
        if (key == name) return value;
      }
      return fallback;
    };
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    handler_({request.getMethod(), uri.getPath(), query, std::move(body), request}, response);
  }

 private:
  const Handler& handler_;
};

class Factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit Factory(const Handler& handler) : handler_(handler) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new FunctionHandler(handler_);
  }

 private:
  const Handler& handler_;
};

}  // namespace

StandinServer::StandinServer(const std::string& listen, Handler handler)
    : handler_(std::move(handler)), threads_(4, kMaxThreads) {
  socket_.bind(Poco::Net::SocketAddress(listen), true);
  socket_.listen(kBacklog);
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kMaxThreads);
  params->setKeepAlive(false);
  server_ =
      std::make_unique<Poco::Net::HTTPServer>(new Factory(handler_), threads_, socket_, params);
  server_->start();
}

StandinServer::~StandinServer() {
  server_->stopAll(true);
}

std::string StandinServer::address() const {
  return socket_.address().toString();
}

void serveHttp(const std::string& listen, const Handler& handler) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  const StandinServer server(listen, handler);
  int number = 0;
  sigwait(&signals, &number);
  _exit(0);
}

void sendJson(Poco::Net::HTTPServerResponse& response, int status,
              const Poco::JSON::Object::Ptr& json) {
  const std::string body = Hallchute::jsonText(json);
  response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType("application/json");
  response.sendBuffer(body.data(), body.size());
}

void hangUp(const Request& request) {
  auto& impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request.raw);
  impl.socket().shutdown();
}

}  // namespace Standin
