// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_SETTINGSSTORE_H
#define HALLCHUTE_DAEMON_SETTINGSSTORE_H

#include <memory>
#include <mutex>
#include <utility>

#include "Hallchute/src/Settings/ChangeLog.h"

namespace Hallchute {

/// \brief Holds the current settings. Thread-safe; only the control thread calls set().
/// \ingroup Daemon
class SettingsStore {
 public:
  std::shared_ptr<const SettingsInForce> get() const {
    const std::lock_guard lock(mutex_);
    return inForce_;
  }
  void set(std::shared_ptr<const SettingsInForce> inForce) {
    const std::lock_guard lock(mutex_);
    inForce_ = std::move(inForce);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const SettingsInForce> inForce_ = std::make_shared<SettingsInForce>();
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_SETTINGSSTORE_H
