// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/GrantSpec.h"

namespace Hallchute {

ScopedGrant::ScopedGrant(UpstreamId upstream, std::string address, Started started, Release release)
    : upstream_(std::move(upstream)),
      address_(std::move(address)),
      started_(std::move(started)),
      release_(std::move(release)) {}

ScopedGrant::~ScopedGrant() {
  end(GrantEnd::cancelled);
}

void ScopedGrant::end(GrantEnd end) {
  const Release release = std::move(release_);
  release_ = nullptr;
  if (release) release(end);
}

}  // namespace Hallchute
