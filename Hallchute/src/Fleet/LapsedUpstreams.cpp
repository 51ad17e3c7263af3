// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/LapsedUpstreams.h"

#include <set>
#include <utility>

namespace Hallchute {

std::vector<UpstreamRecord> LapsedUpstreams::merge(std::vector<UpstreamRecord> listed,
                                                   std::span<const UpstreamRecord> before,
                                                   Instant now) const {
  if (!isActive(now)) return listed;
  std::set<UpstreamId> listedIds;
  for (const UpstreamRecord& record : listed) listedIds.insert(record.id);
  for (const UpstreamRecord& record : before) {
    // A draining upstream that is no longer listed has stopped.
    if (record.state == UpstreamState::draining || listedIds.contains(record.id)) continue;
    listed.push_back(record);
  }
  return listed;
}

}  // namespace Hallchute
