// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_RETRYAFTER_H
#define HALLCHUTE_TRAFFIC_RETRYAFTER_H

#include <Poco/NumberFormatter.h>

#include <string>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The value of a `Retry-After` field: seconds with three decimals, because callers of this
/// system accept fractions of a second. \ingroup Traffic
inline std::string retryAfterText(Millis wait) {
  constexpr int kDecimals = 3;
  return Poco::NumberFormatter::format(std::chrono::duration<double>(wait).count(), kDecimals);
}

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_RETRYAFTER_H
