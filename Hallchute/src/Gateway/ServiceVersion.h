// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_SERVICEVERSION_H
#define HALLCHUTE_GATEWAY_SERVICEVERSION_H

#include <compare>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief A version of the software of a service's upstreams. \ingroup Gateway
struct ServiceVersion {
  ServiceName service;
  SoftwareVersion version;
  auto operator<=>(const ServiceVersion&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_SERVICEVERSION_H
