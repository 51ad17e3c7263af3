// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_MEMBERSHIP_HOSTLISTENTRY_H
#define HALLCHUTE_MEMBERSHIP_HOSTLISTENTRY_H

#include <cstdint>
#include <optional>
#include <string>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The role of a host.
/// \ingroup Membership
enum class HostRole : std::uint8_t { entry, upstream };

/// \brief An entry of the platform's host list.
/// \ingroup Membership
struct HostListEntry {
  HostId host;
  HostRole role = HostRole::upstream;
  FailureDomainName domain;
  /// `ip:port`; for an entry host, the address that its peers use.
  std::string address;
  /// Empty for an entry host.
  ServiceName service;
  std::string machineClass;
  /// Price in millionths of the currency per hour.
  std::int64_t pricePerHour = 0;
  bool reclaimable = true;
  /// Time until the host leaves; set once its leave is scheduled.
  std::optional<Millis> leavesIn;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_HOSTLISTENTRY_H
