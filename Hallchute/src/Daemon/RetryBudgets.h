// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_RETRYBUDGETS_H
#define HALLCHUTE_DAEMON_RETRYBUDGETS_H

#include <map>
#include <mutex>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Recovery/RetryBudget.h"

namespace Hallchute {

/// \brief The retry budget of each service. Any thread.
/// \ingroup Daemon
class RetryBudgets {
 public:
  void noteFirstAttempt(const ServiceName& service, double ratio) {
    const std::lock_guard lock(mutex_);
    RetryBudget& budget = budgets_.try_emplace(service, ratio).first->second;
    budget.setRatio(ratio);
    budget.noteFirstAttempt();
  }
  bool takeRetry(const ServiceName& service) {
    const std::lock_guard lock(mutex_);
    return budgets_.try_emplace(service, 0.0).first->second.takeRetry();
  }

 private:
  std::mutex mutex_;
  std::map<ServiceName, RetryBudget> budgets_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_RETRYBUDGETS_H
