// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_RETRYBUDGETS_H
#define HALLCHUTE_DAEMON_RETRYBUDGETS_H

#include <map>
#include <mutex>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Recovery/RetryBudget.h"

namespace Hallchute {

/// \brief The retry budgets of all services. Thread-safe.
/// \ingroup Daemon
class RetryBudgets {
 public:
  void recordFirstAttempt(const ServiceName& service, double ratio) {
    const std::lock_guard lock(mutex_);
    RetryBudget& budget = budgets_.try_emplace(service, ratio).first->second;
    budget.setRatio(ratio);
    budget.recordFirstAttempt();
  }
  bool tryConsumeRetry(const ServiceName& service) {
    const std::lock_guard lock(mutex_);
    return budgets_.try_emplace(service, 0.0).first->second.tryConsumeRetry();
  }

 private:
  std::mutex mutex_;
  std::map<ServiceName, RetryBudget> budgets_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_RETRYBUDGETS_H
