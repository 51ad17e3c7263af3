// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_SERVICELIMIT_H
#define HALLCHUTE_GATEWAY_SERVICELIMIT_H

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief Limit on rejections that the upstreams of a service had when one last named it.
/// \ingroup Gateway
struct ServiceLimit {
  ServiceName service;
  /// Rejections that daemons may cause at an upstream, a second.
  double rejectionsPerSecond = 0;
  bool operator==(const ServiceLimit&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_SERVICELIMIT_H
