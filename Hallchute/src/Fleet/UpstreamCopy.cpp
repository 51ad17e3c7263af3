// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/UpstreamCopy.h"

#include <utility>

namespace Hallchute {

bool UpstreamCopy::noteStoreRecovery(Instant now) {
  if (upstreams_.empty()) return false;
  lapsed_.noteStoreRecovery(now);
  return true;
}

bool UpstreamCopy::update(std::vector<UpstreamRecord> listed, std::uint64_t version, Instant now) {
  // A new list that says the same is no update for peers either.
  if (version <= version_ || (version_ > 0 && listed == listed_)) return false;
  version_ = version;
  listed_ = std::move(listed);
  return use(lapsed_.merge(listed_, upstreams_, now));
}

bool UpstreamCopy::dropLapsed(Instant now) {
  // After a second outage its own time decides.
  return !lapsed_.holds(now) && use(listed_);
}

bool UpstreamCopy::use(std::vector<UpstreamRecord> upstreams) {
  if (upstreams == upstreams_) return false;
  upstreams_ = std::move(upstreams);
  return true;
}

}  // namespace Hallchute
