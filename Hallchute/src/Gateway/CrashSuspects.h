// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_CRASHSUSPECTS_H
#define HALLCHUTE_GATEWAY_CRASHSUSPECTS_H

#include <vector>

#include "Hallchute/src/Gateway/RequestFingerprint.h"

namespace Hallchute {

/// \brief What may crash the upstream that runs a request. \ingroup Gateway
struct CrashSuspects {
  /// The request as a whole.
  RequestFingerprint content{};
  /// The parts of its prompt that other requests share.
  std::vector<RequestFingerprint> parts{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_CRASHSUSPECTS_H
