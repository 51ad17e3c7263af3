// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/AbandonedRuns.h"

#include <utility>

namespace Hallchute {

void AbandonedRuns::forgetOld(Instant now) {
  while (!runs_.empty() && now - runs_.front().abandonedAt > kMemory) runs_.pop_front();
}

void AbandonedRuns::note(CrashSuspects suspects, const UpstreamIncarnation& upstream, Instant now) {
  forgetOld(now);
  if (runs_.size() >= kMaxRuns) runs_.pop_front();
  runs_.push_back({std::move(suspects), upstream, now, 0});
}

std::vector<CrashSuspects> AbandonedRuns::noteConnectionEnded(const UpstreamIncarnation& upstream,
                                                              Instant now) {
  return noteEnds(upstream, 1, now);
}

std::vector<CrashSuspects> AbandonedRuns::noteProcessEnded(const UpstreamIncarnation& upstream,
                                                           Instant now) {
  return noteEnds(upstream, kProvingEnds, now);
}

std::vector<CrashSuspects> AbandonedRuns::noteEnds(const UpstreamIncarnation& upstream,
                                                   std::size_t ends, Instant now) {
  forgetOld(now);
  std::vector<CrashSuspects> ended;
  std::erase_if(runs_, [&](Run& run) {
    if (run.upstream != upstream) return false;
    run.endedConnections += ends;
    if (run.endedConnections < kProvingEnds) return false;
    ended.push_back(std::move(run.suspects));
    return true;
  });
  return ended;
}

}  // namespace Hallchute
