// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_DISPATCHFORECAST_H
#define HALLCHUTE_GATEWAY_DISPATCHFORECAST_H

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief What was expected of an upstream when a request was dispatched to it. \ingroup Gateway
struct DispatchForecast {
  /// Work until the response begins, in the units of UpstreamLoad.
  double work = 0;
  /// Estimated speed of the upstream; 0 if nothing is known of its service.
  double workPerMs = 0;
  /// Predicted time to the first event; zero if nothing is known.
  Millis firstEvent{0};
  /// Age of the oldest report on which the prediction rests.
  Millis reportAge{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_DISPATCHFORECAST_H
