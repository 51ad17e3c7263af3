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
  /// \param previous its estimate of the period before.
  UpstreamEstimate estimate(const ServiceName& service, const UpstreamLoad& observed, bool cold,
                            const UpstreamEstimate& previous) const;

 private:
  /// Sums over the upstreams of a service; those of speeds are weighted by how much of each
  /// upstream was observed.
  struct Mean {
    double responses = 0;
    double responseMs = 0;
    double speeds = 0;
    double speedWeights = 0;
    double pauses = 0;
    double pauseMs = 0;
    /// The last known mean, in work per millisecond.
    double workPerMs = 0;
    /// The last known mean, in milliseconds.
    double pause = 0;
    /// Weight of the mean in the estimate of an upstream, in milliseconds of observations.
    double priorMs = 0;
  };

  std::map<ServiceName, Mean> means_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_UPSTREAMESTIMATES_H
