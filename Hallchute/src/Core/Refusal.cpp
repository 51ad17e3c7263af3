// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Core/Refusal.h"

#include <array>

namespace Hallchute {
namespace {

struct ReasonRow {
  RefusalReason reason;
  int status;
  std::string_view name;
};

constexpr std::array kReasons{
    ReasonRow{RefusalReason::badRequest, 400, "bad-request"},
    ReasonRow{RefusalReason::unauthorised, 401, "unauthorised"},
    ReasonRow{RefusalReason::forbidden, 403, "forbidden"},
    ReasonRow{RefusalReason::notFound, 404, "not-found"},
    ReasonRow{RefusalReason::tooLarge, 413, "too-large"},
    ReasonRow{RefusalReason::requestTimeout, 408, "request-timeout"},
    ReasonRow{RefusalReason::idempotencyKeyRequired, 400, "idempotency-key-required"},
    ReasonRow{RefusalReason::idempotencyKeyReused, 422, "idempotency-key-reused"},
    ReasonRow{RefusalReason::inProgress, 409, "in-progress"},
    ReasonRow{RefusalReason::overloaded, 503, "overloaded"},
    ReasonRow{RefusalReason::organisationLimit, 429, "organisation-limit"},
    ReasonRow{RefusalReason::noUpstream, 503, "no-upstream"},
    ReasonRow{RefusalReason::platformOutage, 503, "platform-out"},
    ReasonRow{RefusalReason::draining, 503, "draining"},
    ReasonRow{RefusalReason::upstreamFailed, 502, "upstream-failed"},
    ReasonRow{RefusalReason::outcomeUnknown, 502, "outcome-unknown"},
};

const ReasonRow& findRow(RefusalReason reason) {
  for (const ReasonRow& row : kReasons) {
    if (row.reason == reason) return row;
  }
  return kReasons.front();
}

}  // namespace

int httpStatus(RefusalReason reason) {
  return findRow(reason).status;
}

std::string_view reasonName(RefusalReason reason) {
  return findRow(reason).name;
}

}  // namespace Hallchute
