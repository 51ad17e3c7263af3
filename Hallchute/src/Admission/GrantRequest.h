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

/// \brief Names a grant at its owner: unique while the owner lives.
/// \ingroup Admission
using GrantId = std::uint64_t;

/// \brief A daemon's wish for a place at an upstream.
/// \ingroup Admission
struct GrantRequest {
  GrantId id = 0;
  OrganisationName organisation;
  double weight = 1;
  /// 0 is the most patient, 9 the most urgent.
  std::int64_t priority = 5;
  std::size_t promptTokens = 0;
  std::size_t expectedTokens = 0;
  std::uint64_t affinity = 0;
  std::vector<std::uint64_t> prefixHashes;
  /// Upstreams that already failed this request.
  std::vector<UpstreamId> failedUpstreams;
  /// Work already begun, that moves from a leaving or failed upstream, goes before new work.
  bool resumption = false;
  /// Refused once it passes.
  Instant deadline{};
};

/// \brief A grant made by an earlier owner and reported to its successor.
/// \ingroup Admission
struct ExistingGrant {
  GrantId id = 0;
  UpstreamId upstream;
  OrganisationName organisation;
  std::size_t tokens = 0;
};

/// \brief How granted work ended, as its daemon saw it.
/// \ingroup Admission
enum class GrantEnd { finished, cancelled, connectFailed, broke };

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_GRANTREQUEST_H
