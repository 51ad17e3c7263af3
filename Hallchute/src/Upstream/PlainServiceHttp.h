// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_UPSTREAM_PLAINSERVICEHTTP_H
#define HALLCHUTE_UPSTREAM_PLAINSERVICEHTTP_H

#include <string>

#include "Hallchute/src/Ports/PlainServicePort.h"

namespace Hallchute {

/// \brief A plain service over HTTP.
/// \ingroup Upstream
///
/// An answer counts as whole only if its Content-Length was met. A service that leaves answers 503
/// with `Service-Leaving`: it promises that the request did not run.
class PlainServiceHttp final : public PlainServicePort {
 public:
  PlainServiceHttp(std::string address, std::string source, Millis connectLimit);

  PlainResult call(const PlainRequest& request, Millis answerLimit) override;

 private:
  std::string address_;
  std::string source_;
  Millis connectLimit_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_UPSTREAM_PLAINSERVICEHTTP_H
