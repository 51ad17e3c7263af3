// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_SETTINGSSTORE_H
#define HALLCHUTE_DAEMON_SETTINGSSTORE_H

#include <memory>
#include <mutex>
#include <utility>

#include "Hallchute/src/Settings/ChangeLog.h"

namespace Hallchute {

/// \brief Hands the settings in force to any thread. The control thread alone replaces them.
/// \ingroup Daemon
class SettingsStore {
 public:
  std::shared_ptr<const ActiveSettings> get() const {
    const std::lock_guard lock(mutex_);
    return inForce_;
  }
  void set(std::shared_ptr<const ActiveSettings> activeSettings) {
    const std::lock_guard lock(mutex_);
    inForce_ = std::move(activeSettings);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ActiveSettings> inForce_ = std::make_shared<ActiveSettings>();
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_SETTINGSSTORE_H
