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

/// \brief Brings the platform's news in: settings, reclaim notices, the host list.
/// \ingroup Daemon
///
/// Two daemons of a failure domain watch; the others hear from them. Every daemon reads once when
/// it starts and whenever its duty begins.
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
  bool onDuty();
  /// \returns false once the follower stops.
  bool pause(Millis time);
  void followSettings();
  void followNotices();
  void followHosts();
  bool loadSettings();
  void loadSnapshot();
  bool takeNotices(const PlatformReply<ObjectList>& reply, std::uint64_t& since);
  void takeNotice(const StoredObject& object);
  void count(std::string_view kind);
  bool note(bool answered);

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
