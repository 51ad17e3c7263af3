// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_QUOTASHORTAGE_H
#define HALLCHUTE_GATEWAY_QUOTASHORTAGE_H

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Why a quota has no room for a request; amounts in the quota's unit. \ingroup Gateway
struct QuotaShortage {
  /// When the caller may come back.
  Millis retryDelay{0};
  /// What the bucket holds; below 0 if more was admitted than there was.
  double level = 0;
  /// What it would have to hold.
  double needed = 0;
  /// What other daemons are likely to admit before this one hears of it.
  double unreported = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_QUOTASHORTAGE_H
