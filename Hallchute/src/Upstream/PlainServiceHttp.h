// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_UPSTREAM_PLAINSERVICEHTTP_H
#define HALLCHUTE_UPSTREAM_PLAINSERVICEHTTP_H

#include <string>

#include "Hallchute/src/Ports/PlainServicePort.h"

namespace Hallchute {

/// \brief HTTP client of a plain service.
/// \ingroup Upstream
///
/// A response is complete only if its body has the length given by Content-Length. A leaving
/// service responds with 503 and `Service-Leaving`, which guarantees that the request was not
/// executed.
class PlainServiceHttp final : public PlainServicePort {
 public:
  PlainServiceHttp(std::string address, std::string source, Millis connectLimit);

  PlainResult call(const PlainRequest& request, Millis responseTimeout) override;

 private:
  std::string address_;
  std::string source_;
  Millis connectLimit_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_UPSTREAM_PLAINSERVICEHTTP_H
