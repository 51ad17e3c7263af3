// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_PLATFORMFOLLOWER_H
#define HALLCHUTE_DAEMON_PLATFORMFOLLOWER_H

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Ports/PlatformPort.h"

namespace Hallchute {

class Control;
class Metrics;
class PlatformHealth;
class SettingsEditor;

/// \brief Fetches settings, reclaim notices and the host list from the platform.
/// \ingroup Daemon
///
/// Two daemons of each failure domain watch the platform; the others receive updates from them by
/// gossip. Every daemon reads once at startup and whenever it becomes a watcher.
class PlatformFollower {
 public:
  PlatformFollower(PlatformPort& platform, SettingsEditor& editor, Control& control,
                   PlatformHealth& health, Metrics& metrics);
  ~PlatformFollower();
  PlatformFollower(const PlatformFollower&) = delete;
  PlatformFollower& operator=(const PlatformFollower&) = delete;
  void start();
  void stop();

 private:
  /// Whether this daemon is one of its domain's watchers.
  bool isWatcher();
  /// \returns false once stop() was called.
  bool sleepUnlessStopped(Millis time);
  void watchSettings();
  void watchNotices();
  void pollHosts();
  bool loadSettings();
  void loadSnapshot();
  bool applyNotices(const PlatformReply<ObjectList>& reply, std::uint64_t& since);
  void applyNotice(const StoredObject& object);
  void countCall(std::string_view kind);
  /// Updates the platform's health if it answered. \returns \p answered.
  bool recordReply(bool answered);

  PlatformPort& platform_;
  SettingsEditor& editor_;
  Control& control_;
  PlatformHealth& health_;
  Metrics& metrics_;
  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_PLATFORMFOLLOWER_H
