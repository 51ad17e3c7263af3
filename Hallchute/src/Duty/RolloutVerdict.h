// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DUTY_ROLLOUTVERDICT_H
#define HALLCHUTE_DUTY_ROLLOUTVERDICT_H

#include <cstdint>
#include <string_view>

#include "Hallchute/src/Gateway/VersionEvidence.h"

namespace Hallchute {

/// \brief The faults that are looked for in a version. \ingroup Duty
enum class VersionFault { none, fails, slow };

/// \brief The name of a fault in logs. \ingroup Duty
std::string_view describe(VersionFault fault);

/// \brief How far a version's first events may be later than those of the previous one.
/// \ingroup Duty
struct SlownessLimit {
  /// Limit of the ratio of the mean times.
  double meanRatio = 2.5;
  /// Buckets of VersionEvidence beyond the previous version's 90th percentile: two double the time.
  std::size_t buckets = 2;
  /// First events of the new version below which it isn't judged.
  std::uint64_t minTimed = 20;
};

/// \brief Whether a version fails clearly more often than the previous one, by count and share.
/// Cost: constant. \ingroup Duty
/// \param discounted failures that are taken for one event, such as the crash of an upstream.
bool failsMore(const VersionEvidence& target, const VersionEvidence& previous,
               std::uint64_t discounted);

/// \brief Whether a version's first events are several times later than the previous one's, for all
/// requests or for a part of them. False with few samples of either. Cost: linear in the buckets.
/// \ingroup Duty
bool isSlower(const VersionEvidence& target, const VersionEvidence& previous,
              const SlownessLimit& limit);

}  // namespace Hallchute

#endif  // HALLCHUTE_DUTY_ROLLOUTVERDICT_H
