// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ADMISSIONPOLICY_H
#define HALLCHUTE_GATEWAY_ADMISSIONPOLICY_H

#include <optional>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/AdmissionDecision.h"
#include "Hallchute/src/Gateway/AdmissionForecast.h"
#include "Hallchute/src/Gateway/AdmissionRequest.h"

namespace Hallchute {

/// \brief Decides whether a request is dispatched now, waits, or is refused. No state, no I/O, no
/// clock. \ingroup Gateway
///
/// A request is dispatched while the predicted queue delay is at most its threshold. The threshold
/// of the most urgent rank is the time that its objective leaves after its own prompt; each further
/// rank has three quarters of the previous one's, so that the more urgent keep headroom. A request
/// that is late in any case is dispatched only at a small delay, but at the latest after a fraction
/// of its time limit. It is refused only if it would exceed its time limit. Without a forecast, and
/// at short queues, it is dispatched. Cost: constant.
class AdmissionPolicy {
 public:
  /// Queue delay up to which every request is dispatched: less than the age of load reports, so
  /// that a shorter one can't be told from an empty queue.
  static constexpr Millis kShortQueue{30};

  /// \param waitingSince when the request began to wait; nothing if it is fresh.
  static AdmissionDecision decide(const AdmissionRequest& request,
                                  const std::optional<AdmissionForecast>& forecast, Instant now,
                                  std::optional<Instant> waitingSince = {});
  /// \brief Turns the decision to wait into a refusal if the work that waits before the request
  /// takes longer than it has time.
  /// \param drainTime time in which the upstreams process all that waits in the fleet.
  static void limitWait(AdmissionDecision& decision, const AdmissionRequest& request,
                        Millis drainTime);
  /// \brief The refusal of a request that can't wait, with a retry delay of about the predicted
  /// delay, spread over \p drainTime by a hash of the request's id and at most a third of the
  /// caller's time left.
  static AdmissionVerdicts::Refuse refusal(const AdmissionDecision& decision,
                                           const AdmissionRequest& request, std::string_view reason,
                                           Millis drainTime);
  /// \brief The threshold of the request's rank without regard to the time already used.
  static Millis rankThreshold(const AdmissionRequest& request);
  /// \brief The same of a request that is late in any case.
  static Millis lateThreshold(const AdmissionRequest& request);
  /// \brief Whether a request has waited for its share of the time limit.
  static bool overdue(const AdmissionRequest& request, Instant waitingSince, Instant now);
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ADMISSIONPOLICY_H
