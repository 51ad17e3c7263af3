// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RECOVERY_RETRYBUDGET_H
#define HALLCHUTE_RECOVERY_RETRYBUDGET_H

namespace Hallchute {

/// \brief Limits retries to a fraction of the first attempts, so that failures do not amplify load.
/// \ingroup Recovery
///
/// Migrations from an upstream that announced its leave are not retries and do not count.
class RetryBudget {
 public:
  /// \param ratio retries allowed per first attempt.
  explicit RetryBudget(double ratio);
  void setRatio(double ratio) { ratio_ = ratio; }
  void recordFirstAttempt();
  /// \brief Consumes one retry from the budget.
  /// \returns false if the budget is exhausted.
  bool tryConsumeRetry();

 private:
  double ratio_;
  double available_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_RECOVERY_RETRYBUDGET_H
