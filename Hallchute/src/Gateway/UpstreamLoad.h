// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_UPSTREAMLOAD_H
#define HALLCHUTE_GATEWAY_UPSTREAMLOAD_H

#include <cstdint>
#include <map>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief What an upstream has to do for one daemon or several. \ingroup Gateway
struct UpstreamLoad {
  /// Requests under way.
  std::uint32_t requests = 0;
  /// Prompt tokens of those whose answer has not begun: a later request waits until they are read.
  std::uint64_t pendingPrefillTokens = 0;

  UpstreamLoad& operator+=(const UpstreamLoad& more) {
    requests += more.requests;
    pendingPrefillTokens += more.pendingPrefillTokens;
    return *this;
  }
  bool operator==(const UpstreamLoad&) const = default;
};

/// \brief Loads by upstream. \ingroup Gateway
using UpstreamLoads = std::map<UpstreamId, UpstreamLoad>;

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_UPSTREAMLOAD_H
