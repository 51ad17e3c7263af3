// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_STREAMORIGIN_H
#define HALLCHUTE_GATEWAY_STREAMORIGIN_H

#include <cstdint>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief Hash of the id of the attempt that brought a stream's first event. \ingroup Gateway
enum class StreamKey : std::uint64_t {};

/// \brief The software that began a stream. What two versions write doesn't fit together, so only
/// the same version may continue it. \ingroup Gateway
struct StreamOrigin {
  StreamKey stream{};
  ServiceName service;
  /// Empty if it can't be told which process began the stream: nothing may continue it.
  SoftwareVersion version;
  bool operator==(const StreamOrigin&) const = default;
};

/// \brief What a daemon replies to another one that asks for a stream's origin. \ingroup Gateway
struct StreamOriginReply {
  StreamOrigin origin;
  /// Whether the origin was recorded; otherwise the service has had this version alone for longer
  /// than any stream lasts.
  bool recorded = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_STREAMORIGIN_H
