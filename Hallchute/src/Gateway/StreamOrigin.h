// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_STREAMORIGIN_H
#define HALLCHUTE_GATEWAY_STREAMORIGIN_H

#include <cstdint>
#include <string_view>

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

/// \brief How a stream's origin is known. \ingroup Gateway
enum class OriginBasis : std::uint8_t {
  /// It isn't.
  none,
  /// A daemon that lives recorded it when the stream began.
  record,
  /// The archive in the platform's store names it.
  archive,
  /// The service had no other version; see VersionClaim::sole().
  soleVersion,
};

std::string_view describe(OriginBasis basis);

/// \brief What daemons reply to one that asks for a stream's origin. \ingroup Gateway
struct StreamOriginReply {
  OriginBasis basis = OriginBasis::none;
  /// Whether the archive was read for this question.
  bool archiveRead = false;
  /// Without meaning if the basis is `none`.
  StreamOrigin origin;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_STREAMORIGIN_H
