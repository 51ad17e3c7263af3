// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ADMISSIONLIMITS_H
#define HALLCHUTE_GATEWAY_ADMISSIONLIMITS_H

#include <cstddef>

namespace Hallchute {

/// \brief Switch and bounds of admission control in one daemon. \ingroup Gateway
struct AdmissionLimits {
  /// Otherwise every request is dispatched at once.
  bool enabled = false;
  /// Requests that may wait at the same time.
  std::size_t maxWaiting = 512;
  /// Bytes of heads and bodies of waiting requests.
  std::size_t maxWaitingBytes = 16U << 20U;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ADMISSIONLIMITS_H
