// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_REFUSAL_H
#define HALLCHUTE_CORE_REFUSAL_H

#include <optional>
#include <string>

#include "Hallchute/src/Core/RunOutcome.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Why a request is refused or failed, as reported to the caller.
/// \ingroup Core
enum class RefusalReason {
  badRequest,
  unauthorised,
  forbidden,
  notFound,
  tooLarge,
  requestTimeout,
  idempotencyKeyRequired,
  idempotencyKeyReused,
  inProgress,
  overloaded,
  organisationLimit,
  noUpstream,
  platformOutage,
  draining,
  upstreamFailed,
  outcomeUnknown,
};

/// \brief A final error answer to a request.
/// \ingroup Core
///
/// `retryAfter` is in milliseconds, and absent where a later retry would not help.
struct Refusal {
  RefusalReason reason = RefusalReason::badRequest;
  std::string detail;
  RunOutcome outcome = RunOutcome::notRun;
  std::optional<Millis> retryAfter;
};

/// \brief The HTTP status code for \p reason.
/// \ingroup Core
int httpStatus(RefusalReason reason);

/// \brief The stable machine-readable name of \p reason, used in problem details and metrics.
/// \ingroup Core
std::string_view reasonName(RefusalReason reason);

}  // namespace Hallchute

#endif  // HALLCHUTE_CORE_REFUSAL_H
