// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_PLAINSERVICEPORT_H
#define HALLCHUTE_PORTS_PLAINSERVICEPORT_H

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief A request passed on to a plain service.
/// \ingroup Ports
struct PlainRequest {
  std::string method;
  std::string target;
  std::string contentType;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};

/// \brief A whole answer.
/// \ingroup Ports
struct PlainResponse {
  int status = 0;
  std::string contentType;
  std::string body;
  /// The service said with it that it leaves and did not run the request.
  bool leaving = false;
};

/// \brief No byte of the request left: it surely did not run.
/// \ingroup Ports
struct PlainNeverSent {
  std::string detail;
};

/// \brief It may have run; no whole answer came.
/// \ingroup Ports
struct PlainMaybeSent {
  std::string detail;
};

/// \ingroup Ports
using PlainResult = std::variant<PlainResponse, PlainNeverSent, PlainMaybeSent>;

/// \brief A plain service. One call sends at most one request.
/// \ingroup Ports
class PlainServicePort {
 public:
  PlainServicePort() = default;
  PlainServicePort(const PlainServicePort&) = delete;
  PlainServicePort& operator=(const PlainServicePort&) = delete;
  virtual ~PlainServicePort() = default;

  virtual PlainResult call(const PlainRequest& request, Millis responseTimeout) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_PLAINSERVICEPORT_H
