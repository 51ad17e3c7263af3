// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ADMISSION_GRANTACTION_H
#define HALLCHUTE_ADMISSION_GRANTACTION_H

#include <cstddef>
#include <variant>

#include "Hallchute/src/Admission/GrantRequest.h"
#include "Hallchute/src/Core/Refusal.h"

namespace Hallchute {

/// \brief The place is the daemon's until it releases it.
/// \ingroup Admission
struct Granted {
  GrantId id = 0;
  UpstreamId upstream;
  /// Tokens of the prompt that the upstream is taken to hold already.
  std::size_t cachedTokens = 0;
};

/// \brief The wish waits; a final action follows.
/// \ingroup Admission
struct Queued {
  GrantId id = 0;
};

/// \brief The wish is given up on, at once and for good.
/// \ingroup Admission
struct GrantRefused {
  GrantId id = 0;
  Refusal refusal;
};

/// \ingroup Admission
using GrantAction = std::variant<Granted, Queued, GrantRefused>;

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_GRANTACTION_H
