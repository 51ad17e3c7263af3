// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FRONT_FRONTLIMITS_H
#define HALLCHUTE_FRONT_FRONTLIMITS_H

#include <cstddef>
#include <cstdint>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief What a caller may send and how long it may take.
/// \ingroup Front
///
/// The defaults hold until settings are known: 16 KiB and 4 MiB are what proxies commonly take.
struct FrontLimits {
  std::uint32_t headBytes = 16U << 10U;
  std::uint64_t bodyBytes = 4U << 20U;
  /// From the first byte of a head to its end, and between two parts of a body.
  Millis headTimeout{3'000};
  /// How long a connection may rest between requests.
  Millis idleTimeout{15'000};
  /// Connections at the same time; from the process's limit on descriptors.
  std::size_t connections = 2'048;
  bool operator==(const FrontLimits&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FRONT_FRONTLIMITS_H
