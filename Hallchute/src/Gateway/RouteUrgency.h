// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ROUTEURGENCY_H
#define HALLCHUTE_GATEWAY_ROUTEURGENCY_H

#include <cstdint>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief How urgent a request is among those for the same service. \ingroup Gateway
struct RouteUrgency {
  /// Number of more urgent priorities among the service's routes.
  std::uint32_t rank = 0;
  /// The service has less urgent routes.
  bool overtakes = false;
  /// The shortest objective of the service's routes that are at least as urgent.
  Millis objective{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ROUTEURGENCY_H
