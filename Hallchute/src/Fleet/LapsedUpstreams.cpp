// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/LapsedUpstreams.h"

#include <set>
#include <utility>

namespace Hallchute {

std::vector<UpstreamRecord> LapsedUpstreams::merge(std::vector<UpstreamRecord> listed,
                                                   std::span<const UpstreamRecord> before,
                                                   Instant now) const {
  if (!holds(now)) return listed;
  std::set<UpstreamId> there;
  for (const UpstreamRecord& record : listed) there.insert(record.id);
  for (const UpstreamRecord& record : before) {
    // One that was leaving has left.
    if (record.state == UpstreamState::draining || there.contains(record.id)) continue;
    listed.push_back(record);
  }
  return listed;
}

}  // namespace Hallchute
