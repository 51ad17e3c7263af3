// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ADMISSION_GRANTACTION_H
#define HALLCHUTE_ADMISSION_GRANTACTION_H

#include <cstddef>
#include <variant>

#include "Hallchute/src/Admission/GrantRequest.h"
#include "Hallchute/src/Core/Refusal.h"

namespace Hallchute {

/// \brief The request was granted a slot at an upstream, until its daemon releases it.
/// \ingroup Admission
struct Granted {
  GrantId id = 0;
  UpstreamId upstream;
  /// Prompt tokens that the upstream is estimated to have in its prefix cache.
  std::size_t cachedTokens = 0;
};

/// \brief The request was queued; Granted or GrantRefused follows unless it is released.
/// \ingroup Admission
struct Queued {
  GrantId id = 0;
};

/// \brief The request was refused or evicted from the queue. Final.
/// \ingroup Admission
struct GrantRefused {
  GrantId id = 0;
  Refusal refusal;
};

/// \ingroup Admission
using GrantAction = std::variant<Granted, Queued, GrantRefused>;

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_GRANTACTION_H
