// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/AbandonedRuns.h"

namespace Hallchute {

void AbandonedRuns::forgetOld(Instant now) {
  while (!runs_.empty() && now - runs_.front().abandonedAt > kMemory) runs_.pop_front();
}

void AbandonedRuns::note(RequestFingerprint content, const UpstreamIncarnation& upstream,
                         Instant now) {
  forgetOld(now);
  if (runs_.size() >= kMaxRuns) runs_.pop_front();
  runs_.push_back({content, upstream, now, 0});
}

std::vector<RequestFingerprint> AbandonedRuns::noteConnectionEnded(
    const UpstreamIncarnation& upstream, Instant now) {
  return noteEnds(upstream, 1, now);
}

std::vector<RequestFingerprint> AbandonedRuns::noteProcessEnded(const UpstreamIncarnation& upstream,
                                                                Instant now) {
  return noteEnds(upstream, kProvingEnds, now);
}

std::vector<RequestFingerprint> AbandonedRuns::noteEnds(const UpstreamIncarnation& upstream,
                                                        std::size_t ends, Instant now) {
  forgetOld(now);
  std::vector<RequestFingerprint> contents;
  std::erase_if(runs_, [&](Run& run) {
    if (run.upstream != upstream) return false;
    run.endedConnections += ends;
    if (run.endedConnections < kProvingEnds) return false;
    contents.push_back(run.content);
    return true;
  });
  return contents;
}

}  // namespace Hallchute
