// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_DAEMON_H
#define HALLCHUTE_DAEMON_DAEMON_H

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

#include "Hallchute/src/Daemon/BodyMemory.h"
#include "Hallchute/src/Daemon/CallerServer.h"
#include "Hallchute/src/Daemon/CallerServices.h"
#include "Hallchute/src/Daemon/Control.h"
#include "Hallchute/src/Daemon/JobRecords.h"
#include "Hallchute/src/Daemon/JobStarter.h"
#include "Hallchute/src/Daemon/JobTable.h"
#include "Hallchute/src/Daemon/OnceRecordStore.h"
#include "Hallchute/src/Daemon/OperatorServer.h"
#include "Hallchute/src/Daemon/OperatorServices.h"
#include "Hallchute/src/Daemon/PeerJobs.h"
#include "Hallchute/src/Daemon/PlatformFollower.h"
#include "Hallchute/src/Daemon/PlatformHealth.h"
#include "Hallchute/src/Daemon/RetryBudgets.h"
#include "Hallchute/src/Daemon/SettingsEditor.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Daemon/StartupFile.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Platform/PlatformBreaker.h"
#include "Hallchute/src/Platform/PlatformHttp.h"

namespace Hallchute {

/// \brief The daemon run by `hallchute serve`, with all its components.
/// \ingroup Daemon
class Daemon {
 public:
  explicit Daemon(StartupFile startup);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// \brief Serves until a requested stop is complete.
  void run();
  /// \brief Requests a planned stop; a second call requests an immediate stop. Any thread.
  void stop();

 private:
  void stopWithin(Millis limit);
  void runMaintenance();
  void adoptOrphans();
  Millis drainLimit() const;
  OperatorServices operatorServices();

  StartupFile startup_;
  SettingsStore settings_;
  Metrics metrics_;
  JobTable jobs_;
  PlatformHealth health_;
  RetryBudgets budgets_;
  PlatformHttp platformHttp_;
  PlatformBreaker platform_;
  Control control_;
  TrafficContext context_;
  OnceRecordStore onceRecords_;
  JobRecords records_;
  JobStarter starter_;
  PeerJobs peers_;
  BodyMemory bodies_;
  CallerServices services_;
  CallerServer callerServer_;
  SettingsEditor editor_;
  PlatformFollower follower_;
  OperatorServices operatorServices_;
  OperatorServer operatorServer_;
  std::mutex mutex_;
  std::condition_variable stopRequested_;
  std::optional<Millis> stopLimit_;
  std::atomic<bool> stopNow_{false};
  std::atomic<bool> membersChanged_{true};
  std::atomic<bool> maintenanceRunning_{true};
  std::thread maintenanceThread_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_DAEMON_H
