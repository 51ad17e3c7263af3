// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ADMISSION_GRANTREQUEST_H
#define HALLCHUTE_ADMISSION_GRANTREQUEST_H

#include <cstdint>
#include <optional>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Identifies a grant at its shard owner. Unique for the owner's lifetime.
/// \ingroup Admission
using GrantId = std::uint64_t;

/// \brief A daemon's request for a slot at an upstream.
/// \ingroup Admission
struct GrantRequest {
  GrantId id = 0;
  OrganisationName organisation;
  double weight = 1;
  /// From 0, the lowest, to 9, the highest.
  std::int64_t priority = 5;
  std::size_t promptTokens = 0;
  std::size_t expectedTokens = 0;
  std::uint64_t affinity = 0;
  std::vector<std::uint64_t> prefixHashes;
  /// Upstreams at which this request has already failed.
  std::vector<UpstreamId> failedUpstreams;
  /// The request was already running and moves from a draining or failed upstream: it goes before
  /// new requests.
  bool resumption = false;
  /// The request is refused once this time has passed.
  Instant deadline{};
};

/// \brief A grant made by a previous owner and reported to its successor.
/// \ingroup Admission
struct ExistingGrant {
  GrantId id = 0;
  UpstreamId upstream;
  OrganisationName organisation;
  std::size_t tokens = 0;
};

/// \brief How a granted request ended, as reported by its daemon.
/// \ingroup Admission
enum class GrantEnd { finished, cancelled, connectFailed, broke };

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_GRANTREQUEST_H
