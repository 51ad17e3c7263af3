// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_DUTYRUNNER_H
#define HALLCHUTE_NODE_DUTYRUNNER_H

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

/// \brief What the duties are decided from. \ingroup Node
struct DutyInput {
  DutyFacts facts;
  std::vector<GatewayService> services;
  std::vector<UpstreamRecord> upstreams;
  std::map<ServiceName, std::uint32_t> load;
  double quotaTokens = 0;
  bool leaving = false;
};

/// \brief Which duties a deployment has. \ingroup Node
struct DutyRunnerOptions {
  DutyPolicy policy;
  bool ordersReplicas = false;
};

/// \brief Carries out what DutyKeeper and ReplicaPlanner decide, on a thread of its own: the
/// platform's calls block. \ingroup Node
class DutyRunner {
 public:
  /// What the runner asks and tells, from its own thread.
  struct Callbacks {
    /// Asked at each turn.
    std::function<DutyInput()> input;
    /// How many daemons the fleet had before this one began.
    std::function<void(std::size_t)> earlierSize;
  };

  DutyRunner(DutyPort& port, DutyRunnerOptions options, FleetMember self, Callbacks callbacks,
             Metrics& metrics);
  ~DutyRunner();
  DutyRunner(const DutyRunner&) = delete;
  DutyRunner& operator=(const DutyRunner&) = delete;

  void start();
  void stop();
  /// \brief The holder as this daemon knows it; epoch 0 if it knows none. Any thread.
  DutyHolder holder() const;

 private:
  /// The sum of a window's report as it was fixed.
  struct ReportedWindow {
    std::int64_t window = 0;
    std::uint64_t requests = 0;
  };

  void run();
  void turn();
  void release(const DutyFacts& facts);
  /// \returns whether the store answered.
  bool readEarlierSize();
  void perform(const DutySteps::Nothing& step, const DutyInput& input);
  void perform(const DutySteps::Read& step, const DutyInput& input);
  void perform(const DutySteps::Create& step, const DutyInput& input);
  void perform(const DutySteps::Write& step, const DutyInput& input);
  void perform(const DutySteps::SendUsage& step, const DutyInput& input);
  void logLateCounts(const DutyFacts& facts) const;
  void orderReplicas(const DutyInput& input);
  void logNeeds(const CapacityView& view);
  void noteHolder();

  DutyPort& port_;
  DutyRunnerOptions options_;
  FleetMember self_;
  Callbacks callbacks_;
  Metrics& metrics_;
  DutyStateMachine keeper_;
  ReplicaPlanner planner_;
  /// What was last logged of each service's need.
  std::map<ServiceName, std::uint32_t> loggedNeeds_;
  std::optional<ReportedWindow> lastReported_;
  bool held_ = false;
  /// The last epoch under which this daemon held the duties.
  std::uint64_t heldEpoch_ = 0;
  mutable std::mutex mutex_;
  DutyHolder holder_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_DUTYRUNNER_H
