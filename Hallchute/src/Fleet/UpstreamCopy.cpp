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
  // An equal list under a newer version isn't an update for peers either.
  if (version <= version_ || (version_ > 0 && listed == listed_)) return false;
  version_ = version;
  listed_ = std::move(listed);
  return setUpstreams(lapsed_.merge(listed_, upstreams_, now));
}

bool UpstreamCopy::dropLapsed(Instant now) {
  // After a second outage the retention lasts until that outage's own limit.
  return !lapsed_.isActive(now) && setUpstreams(listed_);
}

bool UpstreamCopy::setUpstreams(std::vector<UpstreamRecord> upstreams) {
  if (upstreams == upstreams_) return false;
  upstreams_ = std::move(upstreams);
  return true;
}

}  // namespace Hallchute
