// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_VERSIONEVIDENCE_H
#define HALLCHUTE_GATEWAY_VERSIONEVIDENCE_H

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief What the counts of a VersionEvidence are about. \ingroup Gateway
struct EvidenceKey {
  ServiceName service;
  /// The order of the rollout during which it was counted; see RolloutStage.
  std::uint64_t order = 0;
  SoftwareVersion version;
  std::string route;
  auto operator<=>(const EvidenceKey&) const = default;
};

/// \brief Counts of a version's responses on a route. \ingroup Gateway
///
/// First events are counted by time in buckets whose limits grow by a factor of the square root of
/// two, so that versions can be compared at any percentile from sums over daemons.
struct VersionEvidence {
  /// Bucket 0 holds times below 8 ms, the last one times from about 16 s on.
  static constexpr std::size_t kBuckets = 24;

  std::uint64_t answers = 0;
  /// Server errors, connections that were closed early, malformed responses.
  std::uint64_t failures = 0;
  /// Empty or `kBuckets` counts of first events.
  std::vector<std::uint64_t> firstEvents;

  void noteFirstEvent(Millis time);
  /// \brief Number of first events.
  std::uint64_t timed() const;
  VersionEvidence& operator+=(const VersionEvidence& more);
  /// \brief Subtracts counts that were added before; counts don't fall below zero.
  VersionEvidence& operator-=(const VersionEvidence& part);
  bool operator==(const VersionEvidence&) const = default;
};

/// \brief Evidence of one or more daemons. \ingroup Gateway
using VersionEvidences = std::map<EvidenceKey, VersionEvidence>;

/// \brief Adds \p more to \p total. Cost: one lookup for each entry of \p more. \ingroup Gateway
void addEvidence(VersionEvidences& total, const VersionEvidences& more);
/// \brief Subtracts \p part, which was added before. \ingroup Gateway
void subtract(VersionEvidences& total, const VersionEvidences& part);

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_VERSIONEVIDENCE_H
