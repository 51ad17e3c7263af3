// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_HEALTHHANDLER_H
#define HALLCHUTE_DAEMON_HEALTHHANDLER_H

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

namespace Hallchute {

/// \brief Answers `/healthz` and `/readyz`: 200 or 503.
/// \ingroup Daemon
class HealthHandler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit HealthHandler(bool good) : good_(good) {}
  void handleRequest(Poco::Net::HTTPServerRequest&,
                     Poco::Net::HTTPServerResponse& response) override {
    using Poco::Net::HTTPResponse;
    response.setStatusAndReason(good_ ? HTTPResponse::HTTP_OK
                                      : HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    response.setContentType("text/plain");
    const std::string body = good_ ? "ok\n" : "stopping\n";
    response.sendBuffer(body.data(), body.size());
  }

 private:
  bool good_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_HEALTHHANDLER_H
