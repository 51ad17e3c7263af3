// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_COMPLETIONHANDLER_H
#define HALLCHUTE_DAEMON_COMPLETIONHANDLER_H

#include <Poco/Net/HTTPRequestHandler.h>

#include <optional>
#include <string>

#include "Hallchute/src/Core/Refusal.h"
#include "Hallchute/src/Daemon/CallerRequest.h"

namespace Hallchute {

class HeldBody;
struct CompletionBody;
struct JobParameters;

/// \brief Answers `/v1/chat/completions` and `/v1/completions`.
/// \ingroup Daemon
class CompletionHandler final : public Poco::Net::HTTPRequestHandler {
 public:
  CompletionHandler(CallerServices& services, bool chat) : services_(services), chat_(chat) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  std::optional<Refusal> handle(Poco::Net::HTTPServerRequest& request,
                                Poco::Net::HTTPServerResponse& response);
  std::variant<CompletionBody, Refusal> readCompletion(Poco::Net::HTTPServerRequest& request,
                                                       const Caller& caller, HeldBody& held) const;
  std::optional<Refusal> serve(Poco::Net::HTTPServerRequest& request,
                               Poco::Net::HTTPServerResponse& response, const Caller& caller,
                               const CompletionBody& body);

  CallerServices& services_;
  bool chat_;
  std::string requestId_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_COMPLETIONHANDLER_H
