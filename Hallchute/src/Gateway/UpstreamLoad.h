// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_UPSTREAMLOAD_H
#define HALLCHUTE_GATEWAY_UPSTREAMLOAD_H

#include <cstdint>
#include <map>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief Outstanding and recently processed work of an upstream for one or more daemons.
/// \ingroup Gateway
///
/// Work is counted in prompt tokens; for requests without a prompt, in thousandths of a request.
/// Sums of recent observations decay with the time constant of ObservedWork. All fields add up over
/// daemons.
struct UpstreamLoad {
  /// Requests in flight.
  std::uint32_t requests = 0;
  /// Prompt tokens of requests whose response has not started; later requests queue behind them.
  std::uint64_t pendingPrefillTokens = 0;
  /// Prompt tokens and maximum output tokens of requests in flight.
  std::uint64_t memoryTokens = 0;
  /// Decaying sum of the work that responses waited for, their own included.
  std::uint64_t recentWork = 0;
  /// Decaying sum of the milliseconds that this took.
  std::uint64_t recentWorkMs = 0;
  /// Decaying sum of these responses, in thousandths of a response.
  std::uint64_t recentResponses = 0;
  /// Decaying sum of the pauses between events of streams, in thousandths of a pause.
  std::uint64_t recentPauses = 0;
  /// Decaying sum of their lengths in microseconds.
  std::uint64_t recentPauseMicros = 0;

  UpstreamLoad& operator+=(const UpstreamLoad& more) {
    requests += more.requests;
    pendingPrefillTokens += more.pendingPrefillTokens;
    memoryTokens += more.memoryTokens;
    recentWork += more.recentWork;
    recentWorkMs += more.recentWorkMs;
    recentResponses += more.recentResponses;
    recentPauses += more.recentPauses;
    recentPauseMicros += more.recentPauseMicros;
    return *this;
  }
  /// \brief Subtracts a load that was added before.
  UpstreamLoad& operator-=(const UpstreamLoad& part) {
    requests -= part.requests;
    pendingPrefillTokens -= part.pendingPrefillTokens;
    memoryTokens -= part.memoryTokens;
    recentWork -= part.recentWork;
    recentWorkMs -= part.recentWorkMs;
    recentResponses -= part.recentResponses;
    recentPauses -= part.recentPauses;
    recentPauseMicros -= part.recentPauseMicros;
    return *this;
  }
  bool operator==(const UpstreamLoad&) const = default;
};

/// \brief Loads by upstream. \ingroup Gateway
using UpstreamLoads = std::map<UpstreamId, UpstreamLoad>;

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_UPSTREAMLOAD_H
