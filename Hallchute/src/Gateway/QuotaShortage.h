// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_QUOTASHORTAGE_H
#define HALLCHUTE_GATEWAY_QUOTASHORTAGE_H

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Why a request exceeds its quota; amounts in the quota's unit. \ingroup Gateway
struct QuotaShortage {
  /// Delay after which the caller may retry.
  Millis retryDelay{0};
  /// Level of the token bucket; negative if the quota is overdrawn.
  double level = 0;
  /// Level that the request requires.
  double needed = 0;
  /// Expected spending of other daemons that has not been reported yet.
  double unreported = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_QUOTASHORTAGE_H
