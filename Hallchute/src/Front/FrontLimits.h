// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FRONT_FRONTLIMITS_H
#define HALLCHUTE_FRONT_FRONTLIMITS_H

#include <cstddef>
#include <cstdint>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Size limits and timeouts for callers.
/// \ingroup Front
///
/// The defaults apply until the settings are loaded: 16 KiB and 4 MiB are common limits of proxies.
struct FrontLimits {
  std::uint32_t headBytes = 16U << 10U;
  std::uint64_t bodyBytes = 4U << 20U;
  /// Timeout from the first byte of a head to its end, and between two reads of a body.
  Millis headTimeout{3'000};
  /// Timeout of a keep-alive connection between requests.
  Millis idleTimeout{15'000};
  /// Concurrent connections; bounded by the process's limit on file descriptors.
  std::size_t connections = 2'048;
  bool operator==(const FrontLimits&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FRONT_FRONTLIMITS_H
