// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_HELDPLACE_H
#define HALLCHUTE_GATEWAY_HELDPLACE_H

#include <cstddef>
#include <string_view>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief What a caller's connection does. \ingroup Gateway
enum class PlaceUse {
  /// It was answered for the last time and waits for its caller to close.
  answered,
  /// A request is arriving.
  receiving,
  /// It is between requests.
  idle,
  /// Its caller hasn't read the last response.
  unread,
  /// A request is in progress, or has arrived and was not looked at.
  inProgress,
};

/// \brief The name of \p use in logs and metrics. \ingroup Gateway
std::string_view describe(PlaceUse use);

/// \brief A caller's connection, as far as its place is concerned. \ingroup Gateway
struct HeldPlace {
  PlaceUse use = PlaceUse::idle;
  /// Since when it does this.
  Instant since{};
  /// Bytes of the request that is arriving.
  std::size_t received = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_HELDPLACE_H
