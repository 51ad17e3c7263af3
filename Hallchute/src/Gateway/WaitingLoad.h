// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_WAITINGLOAD_H
#define HALLCHUTE_GATEWAY_WAITINGLOAD_H

#include <cstdint>
#include <map>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief Requests that wait for admission at one or more daemons. \ingroup Gateway
struct WaitingLoad {
  std::uint32_t requests = 0;
  std::uint64_t promptTokens = 0;

  WaitingLoad& operator+=(const WaitingLoad& more) {
    requests += more.requests;
    promptTokens += more.promptTokens;
    return *this;
  }
  WaitingLoad& operator-=(const WaitingLoad& part) {
    requests -= part.requests;
    promptTokens -= part.promptTokens;
    return *this;
  }
  bool operator==(const WaitingLoad&) const = default;
};

/// \brief Waiting requests by service; services without any are absent. \ingroup Gateway
using WaitingLoads = std::map<ServiceName, WaitingLoad>;

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_WAITINGLOAD_H
