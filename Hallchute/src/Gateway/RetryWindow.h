// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_RETRYWINDOW_H
#define HALLCHUTE_GATEWAY_RETRYWINDOW_H

#include <cstddef>
#include <deque>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

class RetrySlack;

/// \brief Retry budget of the fleet, as configured by the operator's platform. \ingroup Gateway
///
/// The retries that reach upstreams in a window are at most the ratio times the requests of that
/// window, or of an earlier one that ends at its start or in its middle, plus the slack.
struct RetryAllowance {
  /// Retries per request.
  double ratio = 0.2;
  /// Additional retries in a window, over all daemons.
  double slack = 0;
  Millis window{10'000};
};

/// \brief One daemon's part of a service's retry budget. Not thread-safe; no I/O, no clock.
/// \ingroup Gateway
///
/// A daemon earns retries by its own requests and, with time, from the fleet's slack. What a window
/// allows is earned in two windows, the window itself and the one before it, half in each. From any
/// of its retries on, a daemon sends no more than it has earned since one window before that
/// retry. Sums over daemons, and over the incarnations of a daemon, therefore stay within the
/// fleet's budget in each window: a new incarnation has earned nothing, and what is spent in a
/// window was earned once. At once a daemon can spend half of what a window allows.
///
/// Memory: the times of the requests and retries of two windows. Cost of takeRetry(): one binary
/// search for each retry of a window.
class RetryWindow {
 public:
  void noteRequest(const RetryAllowance& allowance, Instant now);
  /// \brief Records a retry if the budget allows it.
  /// \returns whether it does.
  bool takeRetry(const RetryAllowance& allowance, const RetrySlack& slack, Instant now);
  /// \brief Records a hedge if the budget allows it, and half of the budget allows all hedges, so
  /// that retries of failed requests keep the other half. A hedge counts as a retry.
  /// \returns whether it does.
  bool takeHedge(const RetryAllowance& allowance, const RetrySlack& slack, Instant now);
  /// \brief What takeRetry() last compared: the requests and retries that it remembers.
  std::size_t requestCount() const { return requests_.size(); }
  std::size_t retryCount() const { return retries_.size(); }

 private:
  /// Whether each window that begins with one of \p spent has room for all that follow, within
  /// the fraction \p share of the budget.
  bool withinBudget(const std::deque<Instant>& spent, double share, const RetryAllowance& allowance,
                    const RetrySlack& slack, Instant now) const;
  double earnedSince(const RetryAllowance& allowance, const RetrySlack& slack, Instant from,
                     Instant now) const;

  std::deque<Instant> requests_;
  /// Hedges included.
  std::deque<Instant> retries_;
  std::deque<Instant> hedges_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_RETRYWINDOW_H
