// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_OPERATORHANDLER_H
#define HALLCHUTE_DAEMON_OPERATORHANDLER_H

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/URI.h>

#include <string>

#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {

struct OperatorServices;

/// \brief Handles requests to the operator API; all of them require the operator token.
/// \ingroup Daemon
class OperatorHandler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit OperatorHandler(OperatorServices& services) : services_(services) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  struct Reply {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
  };

  Reply route(Poco::Net::HTTPServerRequest& request, const Poco::URI& uri);
  Reply get(const std::string& path, const Poco::URI& uri);
  Reply post(const std::string& path, const Poco::URI& uri, const std::string& body);
  Reply settings() const;
  Reply explain(const Poco::URI& uri) const;
  Reply history(const Poco::URI& uri);
  Reply check(const std::string& body) const;
  Reply apply(const std::string& body);
  Reply leave(const std::string& upstream, const Poco::URI& uri);
  Reply requests() const;

  OperatorServices& services_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_OPERATORHANDLER_H
