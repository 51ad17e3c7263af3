// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_NAMEDLIMIT_H
#define HALLCHUTE_GATEWAY_NAMEDLIMIT_H

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

/// \brief What an upstream last said of the requests that it accepts from all daemons together.
/// \ingroup Gateway
struct NamedLimit {
  UpstreamIncarnation upstream;
  /// False once it accepts any number again.
  bool limited = false;
  /// Requests a second.
  double perSecond = 0;
  /// When a daemon received the answer, on the fleet's shared wall clock: the later one is valid.
  Millis namedAt{0};
  bool operator==(const NamedLimit&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_NAMEDLIMIT_H
