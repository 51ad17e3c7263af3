// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/GrantSpec.h"

namespace Hallchute {

ScopedGrant::ScopedGrant(UpstreamId upstream, std::string address, FirstTokenCallback onFirstToken,
                         ReleaseCallback onRelease)
    : upstream_(std::move(upstream)),
      address_(std::move(address)),
      onFirstToken_(std::move(onFirstToken)),
      onRelease_(std::move(onRelease)) {}

ScopedGrant::~ScopedGrant() {
  end(GrantEnd::cancelled);
}

void ScopedGrant::end(GrantEnd end) {
  const ReleaseCallback onRelease = std::move(onRelease_);
  onRelease_ = nullptr;
  if (onRelease) onRelease(end);
}

}  // namespace Hallchute
