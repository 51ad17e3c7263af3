// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_MEMBERSHIP_MEMBER_H
#define HALLCHUTE_MEMBERSHIP_MEMBER_H

#include <cstdint>
#include <string>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The life of a daemon as its peers see it. A later state wins at the same incarnation.
/// \ingroup Membership
enum class MemberState : std::uint8_t { alive, suspect, leaving, dead };

/// \brief What one daemon tells another about a daemon.
/// \ingroup Membership
struct MemberStatus {
  DaemonId id;
  DomainName domain;
  /// Where its peers reach it, `ip:port`.
  std::string address;
  /// Raised by the member itself, to refute what is said of it; starts at its start time.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::alive;
  /// The settings revision in force there, as last heard.
  std::uint64_t revision = 0;
  /// The version of the host list known there, as last heard.
  std::uint64_t hostsVersion = 0;
};

/// \brief A daemon in the table of another.
/// \ingroup Membership
struct Member {
  MemberStatus status;
  /// When its state was last changed here.
  Instant since{};
  /// When it last answered this daemon itself.
  Instant heard{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_MEMBER_H
