// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_CRASHHISTORY_H
#define HALLCHUTE_GATEWAY_CRASHHISTORY_H

#include <cstddef>
#include <vector>

#include "Hallchute/src/Gateway/RequestFingerprint.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

/// \brief An upstream process that ended a request without a complete response. \ingroup Gateway
struct UpstreamCrash {
  UpstreamIncarnation upstream;
  /// A request of the same content has since run to its end, so the content didn't cause it.
  bool refuted = false;
  bool operator==(const UpstreamCrash&) const = default;
};

/// \brief The upstreams that crashed while they ran requests of one content. \ingroup Gateway
///
/// Copies in different daemons are merged by the union of their crashes; a crash that is refuted in
/// one copy is refuted in all.
struct CrashHistory {
  RequestFingerprint content{};
  /// Each upstream process at most once, oldest first.
  std::vector<UpstreamCrash> crashes;

  /// \brief Number of crashes that are not refuted.
  std::size_t count() const;
  bool operator==(const CrashHistory&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_CRASHHISTORY_H
