// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_PLAINHANDLER_H
#define HALLCHUTE_DAEMON_PLAINHANDLER_H

#include <Poco/Net/HTTPRequestHandler.h>

#include <optional>
#include <string>

#include "Hallchute/src/Core/Refusal.h"
#include "Hallchute/src/Daemon/CallerRequest.h"

namespace Hallchute {

/// \brief Forwards requests for `/v1/services/{service}/…` to a plain service.
/// \ingroup Daemon
class PlainHandler final : public Poco::Net::HTTPRequestHandler {
 public:
  /// \param target the path and query sent to the service: the URI after the service's name.
  PlainHandler(CallerServices& services, std::string service, std::string target)
      : services_(services), service_(std::move(service)), target_(std::move(target)) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  std::optional<Refusal> handle(Poco::Net::HTTPServerRequest& request,
                                Poco::Net::HTTPServerResponse& response);
  std::optional<Refusal> run(Poco::Net::HTTPServerRequest& request,
                             Poco::Net::HTTPServerResponse& response, const Caller& caller,
                             const WorkClass& workClass, std::string body);

  CallerServices& services_;
  ServiceName service_;
  std::string target_;
  std::string request_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_PLAINHANDLER_H
