// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_PLATFORMREPLY_H
#define HALLCHUTE_PORTS_PLATFORMREPLY_H

#include <string>
#include <variant>

namespace Hallchute {

/// \brief The call succeeded.
/// \ingroup Ports
template <typename T>
struct Done {
  T value;
};

/// \brief Why a call had no effect.
/// \ingroup Ports
enum class PlatformRefusal {
  /// The object does not have the expected version.
  conflict,
  /// There is no such object.
  absent,
  /// The platform is unreachable or reported itself unavailable.
  unavailable,
  /// The platform rejected the call as invalid, or its response can't be read.
  rejected,
};

/// \brief The call had no effect.
/// \ingroup Ports
struct Refused {
  PlatformRefusal reason = PlatformRefusal::unavailable;
  std::string detail = {};
};

/// \brief The reply was lost; the call may have taken effect.
/// \ingroup Ports
struct OutcomeUnknown {
  std::string detail;
  /// Whether the call timed out, rather than the platform closed the connection.
  bool timedOut = false;
};

/// \brief The outcome of a call to the platform.
/// \ingroup Ports
template <typename T>
using PlatformReply = std::variant<Done<T>, Refused, OutcomeUnknown>;

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_PLATFORMREPLY_H
