// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_VERSIONCLAIM_H
#define HALLCHUTE_GATEWAY_VERSIONCLAIM_H

#include <cstdint>
#include <optional>
#include <vector>

#include "Hallchute/src/Gateway/ServiceVersion.h"

namespace Hallchute {

/// \brief Which software versions the services had, as far as one daemon has read the directory. It
/// remains true however old it is, as it names the revision that it reaches. \ingroup Gateway
struct VersionClaim {
  /// Revision of the directory up to which no version is missing; 0 if nothing was read.
  std::uint64_t asOf = 0;
  /// Whether no version is missing that was listed within VersionHistory::kHorizon before that.
  bool complete = false;
  /// In order, without duplicates.
  std::vector<ServiceVersion> versions;
  bool operator==(const VersionClaim&) const = default;

  void add(const ServiceVersion& version);
  /// \brief This claim with what was listed \p since; nothing if that is older, as then the store
  /// has not told of all changes.
  std::optional<VersionClaim> extendedBy(const VersionClaim& since) const;
  /// \brief The only version that can have begun a stream of the service; nothing if there may be
  /// another one, or none.
  std::optional<SoftwareVersion> sole(const ServiceName& service) const;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_VERSIONCLAIM_H
