// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_UPSTREAMESTIMATES_H
#define HALLCHUTE_GATEWAY_UPSTREAMESTIMATES_H

#include <map>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Gateway/UpstreamEstimate.h"

namespace Hallchute {

struct UpstreamLoad;

/// \brief Estimates the speeds of upstreams from what all daemons observed. No I/O, no clock.
/// \ingroup Gateway
///
/// In each report period: begin(), add() for each upstream, then estimate() for each. Without
/// recent observations an upstream is taken to be as fast as the mean of its service; the mean of
/// a service without any is the last one known. Cost: a lookup of the service for each call.
class UpstreamEstimates {
 public:
  /// \brief Starts new means.
  void begin();
  /// \brief Adds an upstream's observations to the mean of its service.
  void add(const ServiceName& service, const UpstreamLoad& observed);
  /// \param cold whether the upstream is still warming up, so that it is slower than the mean.
  /// \param previousWeight its weight so far, which only a clear change replaces.
  UpstreamEstimate estimate(const ServiceName& service, const UpstreamLoad& observed, bool cold,
                            double previousWeight) const;

 private:
  /// Sums over the upstreams of a service, weighted by how much of each was observed.
  struct Mean {
    double speeds = 0;
    double speedWeights = 0;
    double pauses = 0;
    double pauseMs = 0;
    /// The last known mean, in work per millisecond.
    double workPerMs = 0;
    /// The last known mean, in milliseconds.
    double pause = 0;
  };

  std::map<ServiceName, Mean> means_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_UPSTREAMESTIMATES_H
