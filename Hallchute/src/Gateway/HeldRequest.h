// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_HELDREQUEST_H
#define HALLCHUTE_GATEWAY_HELDREQUEST_H

#include <cstddef>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief What one connection holds of its callers' requests. \ingroup Gateway
struct HeldRequest {
  /// Memory of the request that is being received or is in progress, in bytes.
  std::size_t bytes = 0;
  /// Bytes of the requests that follow it.
  std::size_t readAhead = 0;
  /// Whether the request was received completely; it is in progress then.
  bool complete = false;
  /// When its first byte arrived.
  Instant since{};

  std::size_t total() const { return bytes + readAhead; }
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_HELDREQUEST_H
