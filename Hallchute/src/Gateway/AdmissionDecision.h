// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ADMISSIONDECISION_H
#define HALLCHUTE_GATEWAY_ADMISSIONDECISION_H

#include <string_view>
#include <variant>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief What admission control decides for a request. \ingroup Gateway
namespace AdmissionVerdicts {

/// Send the request to an upstream now.
struct Dispatch {
  /// It has waited for its share of the time limit, whatever the queue delay is.
  bool overdue = false;
};
/// Hold the request and decide again later.
struct Wait {};
/// Report to the caller that the request did not run.
struct Refuse {
  /// Stable name for logs and metrics.
  std::string_view reason;
  Millis retryAfter{0};
};

}  // namespace AdmissionVerdicts

/// \ingroup Gateway
using AdmissionVerdict =
    std::variant<AdmissionVerdicts::Dispatch, AdmissionVerdicts::Wait, AdmissionVerdicts::Refuse>;

/// \brief A verdict and the inputs that it rests on, for logs. \ingroup Gateway
struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdicts::Dispatch{};
  /// Predicted time until an upstream begins to process the request.
  Millis queueDelay{0};
  /// Predicted time to process its prompt.
  Millis promptTime{0};
  /// The longest queue delay at which it is dispatched.
  Millis threshold{0};
  Millis timeLeft{0};
  /// Its first event can't be within the objective any more.
  bool late = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ADMISSIONDECISION_H
