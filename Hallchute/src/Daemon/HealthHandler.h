// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_HEALTHHANDLER_H
#define HALLCHUTE_DAEMON_HEALTHHANDLER_H

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

namespace Hallchute {

/// \brief Serves `/healthz` and `/readyz`: 200 if healthy, 503 otherwise.
/// \ingroup Daemon
class HealthHandler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit HealthHandler(bool healthy) : healthy_(healthy) {}
  void handleRequest(Poco::Net::HTTPServerRequest&,
                     Poco::Net::HTTPServerResponse& response) override {
    using Poco::Net::HTTPResponse;
    response.setStatusAndReason(healthy_ ? HTTPResponse::HTTP_OK
                                         : HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    response.setContentType("text/plain");
    const std::string body = healthy_ ? "ok\n" : "stopping\n";
    response.sendBuffer(body.data(), body.size());
  }

 private:
  bool healthy_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_HEALTHHANDLER_H
