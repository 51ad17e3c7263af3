// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ABANDONEDRUNS_H
#define HALLCHUTE_GATEWAY_ABANDONEDRUNS_H

#include <cstddef>
#include <deque>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/CrashSuspects.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

/// \brief Remembers runs that this daemon cancelled, in case their upstreams end just after that.
/// Not thread-safe; no I/O, no clock.
/// \ingroup Gateway
///
/// The connection that would tell of the end is closed, as that is how a run is cancelled. Another
/// sign that the process ended is therefore needed. A single ended connection isn't one, as an
/// upstream may close it and go on. Cost: one pass over at most kMaxRuns runs per sign.
class AbandonedRuns {
 public:
  /// How long after its cancellation a run may have caused the end of its upstream, the time until
  /// the end is noticed included.
  static constexpr Millis kMemory{1'000};
  /// Runs remembered; the oldest is dropped.
  static constexpr std::size_t kMaxRuns = 1'024;
  /// Connections of one process that must end, each with a request on it, to show that it ended.
  static constexpr std::size_t kProvingEnds = 2;

  /// \brief Records that a run was cancelled that had reached its upstream.
  void note(CrashSuspects suspects, const UpstreamIncarnation& upstream, Instant now);
  /// \brief Records that an upstream ended a connection with a request on it.
  /// \returns the requests that have therefore crashed it.
  std::vector<CrashSuspects> noteConnectionEnded(const UpstreamIncarnation& upstream, Instant now);
  /// \brief Records that an upstream's process ended.
  /// \returns the requests that have therefore crashed it.
  std::vector<CrashSuspects> noteProcessEnded(const UpstreamIncarnation& upstream, Instant now);

 private:
  struct Run {
    CrashSuspects suspects;
    UpstreamIncarnation upstream;
    Instant abandonedAt{};
    std::size_t endedConnections = 0;
  };

  std::vector<CrashSuspects> noteEnds(const UpstreamIncarnation& upstream, std::size_t ends,
                                      Instant now);
  void forgetOld(Instant now);

  /// In order of their times.
  std::deque<Run> runs_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ABANDONEDRUNS_H
