// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_DUTYRUNNER_H
#define HALLCHUTE_NODE_DUTYRUNNER_H

#include <absl/status/statusor.h>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "Hallchute/src/Capacity/ReplicaPlanner.h"
#include "Hallchute/src/Duty/DutyStateMachine.h"
#include "Hallchute/src/Gateway/GatewaySettings.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

class DutyPort;
class Metrics;

/// \brief The state from which the duties are planned. \ingroup Node
struct DutyInput {
  DutyFacts facts;
  std::vector<GatewayService> services;
  std::vector<UpstreamRecord> upstreams;
  std::map<ServiceName, std::uint32_t> load;
  double quotaTokens = 0;
  bool leaving = false;
};

/// \brief The duties that a deployment has, and their timing. \ingroup Node
struct DutyRunnerOptions {
  DutyPolicy policy;
  bool ordersReplicas = false;
};

/// \brief Carries out the steps of DutyStateMachine and the orders of ReplicaPlanner, on its own
/// thread because the calls to the platform block. \ingroup Node
class DutyRunner {
 public:
  /// Called from the runner's thread.
  struct Callbacks {
    /// Returns the current input; called in each iteration.
    std::function<DutyInput()> input;
    /// Reports how many daemons the fleet had before this one started, as the store records it.
    std::function<void(std::size_t)> onEarlierSize;
    /// Reports the requests in quarantine that the store records.
    std::function<void(std::vector<CrashHistory>)> onQuarantine;
    /// Reports the limits on rejections that services had before this daemon started, if any.
    std::function<void(std::vector<ServiceLimit>)> onEarlierLimits;
    /// Reports after each iteration of the holder the epoch under which it holds the duties and the
    /// rollouts that the record has.
    std::function<void(std::uint64_t, const std::vector<RolloutRecord>&)> onHeld =
        [](std::uint64_t, const std::vector<RolloutRecord>&) {};
  };

  DutyRunner(DutyPort& port, DutyRunnerOptions options, FleetMember self, Callbacks callbacks,
             Metrics& metrics);
  ~DutyRunner();
  DutyRunner(const DutyRunner&) = delete;
  DutyRunner& operator=(const DutyRunner&) = delete;

  void start();
  void stop();
  /// \brief The holder known to this daemon; epoch 0 if none is known. Any thread.
  DutyHolder holder() const;

 private:
  /// The total of a window's usage report as it was sent.
  struct ReportedWindow {
    std::int64_t window = 0;
    std::uint64_t requests = 0;
  };

  void run();
  /// Calls \p turn; an exception ends only this turn.
  void runTurn(const std::function<void()>& turn);
  void runOnce();
  void release(const DutyFacts& facts);
  /// \returns whether the store responded.
  bool readEarlierSize();
  void perform(const DutySteps::Nothing& step, const DutyInput& input);
  void perform(const DutySteps::Read& step, const DutyInput& input);
  void perform(const DutySteps::Create& step, const DutyInput& input);
  void perform(const DutySteps::Write& step, const DutyInput& input);
  void perform(const DutySteps::SendUsage& step, const DutyInput& input);
  void logLateCounts(const DutyFacts& facts) const;
  void orderReplicas(const DutyInput& input);
  void logReplicaNeeds(const CapacityView& view);
  void updateHolder();

  DutyPort& port_;
  DutyRunnerOptions options_;
  FleetMember self_;
  Callbacks callbacks_;
  Metrics& metrics_;
  DutyStateMachine keeper_;
  ReplicaPlanner planner_;
  /// Number of replicas needed by each service, as last logged.
  std::map<ServiceName, std::uint32_t> loggedNeeds_;
  std::optional<ReportedWindow> lastReported_;
  bool wasHolder_ = false;
  /// The last epoch under which this daemon held the duties.
  std::uint64_t lastHeldEpoch_ = 0;
  mutable std::mutex mutex_;
  DutyHolder holder_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_DUTYRUNNER_H
