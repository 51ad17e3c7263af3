// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_RETRYWINDOW_H
#define HALLCHUTE_GATEWAY_RETRYWINDOW_H

#include <cstddef>
#include <deque>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Retry budget of the fleet, as configured by the operator's platform. \ingroup Gateway
struct RetryAllowance {
  /// Retries per request.
  double ratio = 0.2;
  /// Additional retries in a window, over all daemons.
  double slack = 0;
  Millis window{10'000};
};

/// \brief One daemon's share of a service's retry budget in a sliding window. \ingroup Gateway
///
/// A daemon's budget is the ratio times its own requests in the window, plus its share of the
/// fleet's slack. The sum over all daemons stays within the fleet's budget without coordination.
class RetryWindow {
 public:
  void noteRequest(Instant now) { requests_.push_back(now); }
  /// \brief Records a retry if the budget allows it.
  /// \returns whether it does.
  /// \param daemons number of daemons that share the slack.
  bool takeRetry(const RetryAllowance& allowance, std::size_t daemons, Instant now);
  /// \brief What takeRetry() last compared: the requests and retries that it remembers.
  std::size_t requestCount() const { return requests_.size(); }
  std::size_t retryCount() const { return repeats_.size(); }

 private:
  std::deque<Instant> requests_;
  std::deque<Instant> repeats_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_RETRYWINDOW_H
