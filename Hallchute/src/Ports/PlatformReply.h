// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_PLATFORMREPLY_H
#define HALLCHUTE_PORTS_PLATFORMREPLY_H

#include <string>
#include <variant>

namespace Hallchute {

/// \brief The platform did what was asked.
/// \ingroup Ports
template <typename T>
struct Done {
  T value;
};

/// \brief Why the platform did not do it.
/// \ingroup Ports
enum class PlatformRefusal {
  /// The object has another version than the one asked for.
  conflict,
  /// There is no such object.
  absent,
  /// The platform could not be reached, or said that it is out: nothing was done.
  unavailable,
  /// The platform rejects the call as such.
  rejected,
};

/// \brief The call surely had no effect.
/// \ingroup Ports
struct Refused {
  PlatformRefusal reason = PlatformRefusal::unavailable;
  std::string detail = {};
};

/// \brief The call may have had its effect: its reply was lost.
/// \ingroup Ports
struct OutcomeUnknown {
  std::string detail;
  /// Whether the platform fell silent, rather than closed the connection.
  bool timedOut = false;
};

/// \brief The three ways in which a call to the platform ends.
/// \ingroup Ports
template <typename T>
using PlatformReply = std::variant<Done<T>, Refused, OutcomeUnknown>;

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_PLATFORMREPLY_H
