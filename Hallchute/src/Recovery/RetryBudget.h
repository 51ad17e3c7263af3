// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RECOVERY_RETRYBUDGET_H
#define HALLCHUTE_RECOVERY_RETRYBUDGET_H

namespace Hallchute {

/// \brief Bounds retries to a part of the first attempts, so that failures don't multiply load.
/// \ingroup Recovery
///
/// Moves away from an upstream that announced its end don't count: they are no retries.
class RetryBudget {
 public:
  /// \param ratio retries per first attempt.
  explicit RetryBudget(double ratio);
  void setRatio(double ratio) { ratio_ = ratio; }
  void recordFirstAttempt();
  /// \returns whether a retry may be made; if so it is taken off the budget.
  bool tryConsumeRetry();

 private:
  double ratio_;
  double level_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_RECOVERY_RETRYBUDGET_H
