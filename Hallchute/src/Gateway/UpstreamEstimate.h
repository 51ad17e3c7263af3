// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_UPSTREAMESTIMATE_H
#define HALLCHUTE_GATEWAY_UPSTREAMESTIMATE_H

#include <cstdint>

namespace Hallchute {

/// \brief The estimated speed of an upstream. \ingroup Gateway
struct UpstreamEstimate {
  /// Work per millisecond, in the units of UpstreamLoad; 0 if nothing is known of the service.
  double workPerMs = 0;
  /// Mean pause between events of a stream, in milliseconds.
  double pauseMs = 0;
  /// Speed relative to the service's mean.
  double relativeSpeed = 1;
  /// Mean of the relative speed over the last 10 s or so.
  double usualSpeed = 1;
  /// Report periods that `usualSpeed` is a mean of.
  std::uint32_t periods = 0;
  /// `usualSpeed` in coarse steps: the upstream's share of prompts.
  double weight = 1;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_UPSTREAMESTIMATE_H
