// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_REQUESTHANDLER_H
#define HALLCHUTE_DAEMON_REQUESTHANDLER_H

#include <Poco/Net/HTTPRequestHandler.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "Hallchute/src/Core/Refusal.h"
#include "Hallchute/src/Daemon/CallerRequest.h"

namespace Hallchute {

class Job;

/// \brief Handles `GET` and `DELETE /v1/requests/{id}`, whichever daemon runs the request.
/// \ingroup Daemon
class RequestHandler final : public Poco::Net::HTTPRequestHandler {
 public:
  RequestHandler(CallerServices& services, std::string id)
      : services_(services), id_(std::move(id)) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  using FindResult = std::variant<std::shared_ptr<Job>, Refusal>;

  std::optional<Refusal> handle(const Poco::Net::HTTPServerRequest& request,
                                Poco::Net::HTTPServerResponse& response);
  FindResult find(const OrganisationName& organisation);
  FindResult findRecord(const OrganisationName& organisation);

  CallerServices& services_;
  RequestId id_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_REQUESTHANDLER_H
