// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_UPSTREAM_ENGINEHTTP_H
#define HALLCHUTE_UPSTREAM_ENGINEHTTP_H

#include <string>

#include "Hallchute/src/Ports/EnginePort.h"

namespace Hallchute {

/// \brief HTTP client of a model engine that streams server-sent events; see docs/API.md.
/// \ingroup Upstream
class EngineHttp final : public EnginePort {
 public:
  EngineHttp(std::string address, std::string source, Millis connectLimit);

  StreamResult generate(const GenerateRequest& request, Millis stallTimeout,
                        const Receiver& receiver) override;
  void cancel(const std::string& request, std::uint64_t epoch) override;
  std::string exportCache(const std::string& request, std::uint64_t epoch) override;
  std::string importCache(const std::string& cache) override;

 private:
  std::string address_;
  std::string source_;
  Millis connectLimit_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_UPSTREAM_ENGINEHTTP_H
