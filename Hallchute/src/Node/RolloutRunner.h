// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_ROLLOUTRUNNER_H
#define HALLCHUTE_NODE_ROLLOUTRUNNER_H

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "Hallchute/src/Core/Finding.h"
#include "Hallchute/src/Duty/RolloutPlan.h"
#include "Hallchute/src/Node/ObjectFollower.h"

namespace Hallchute {

class Metrics;
class RolloutPort;

/// \brief What the control thread knows in a report period. \ingroup Node
struct RolloutView {
  /// The fleet's holder of the duties with the highest epoch.
  DutyHolder holder;
  /// By service.
  std::map<ServiceName, RolloutFacts> facts;
  /// Time for services without upstreams.
  Millis wallClock{0};
  /// The stages that this daemon has in force.
  std::vector<RolloutStage> stages;
};

/// \brief How orders are found and their status written. \ingroup Node
struct RolloutPorts {
  ObjectSource& orders;
  RolloutPort& status;
  std::function<std::optional<RolloutOrder>(const SourceObject&, Findings&)> readOrder;
};

/// \brief Runs the rollouts of a fleet while this daemon holds its duties: follows the operator's
/// orders, lets RolloutPlan decide, and writes the status. \ingroup Node
///
/// Threads: one that follows the orders, off while another daemon holds the duties, and one for the
/// calls that write the status; decisions run on the control thread and wait for neither. All
/// functions are thread-safe.
class RolloutRunner {
 public:
  RolloutRunner(RolloutPorts ports, RolloutPolicy policy, FleetMember self, Millis watchTimeout,
                Metrics& metrics);
  ~RolloutRunner();
  RolloutRunner(const RolloutRunner&) = delete;
  RolloutRunner& operator=(const RolloutRunner&) = delete;

  void start();
  void stop();
  /// \brief This daemon holds the duties under \p epoch, and its record has these rollouts.
  void noteHeld(std::uint64_t epoch, const std::vector<RolloutRecord>& stored);
  /// \brief To be called each report period. \returns the stages to report; empty unless this
  /// daemon holds the duties.
  std::vector<RolloutStage> tick(const RolloutView& view);
  /// \brief The rollouts to keep in the record; nothing until this holder has read the record.
  std::optional<std::vector<RolloutRecord>> records() const;

 private:
  using Plans = std::map<ServiceName, RolloutPlan>;

  void runCalls();
  /// Makes the next call for a status, if any. \returns whether there was one.
  bool callOnce();
  void perform(const ServiceName& service, const RolloutSteps::Nothing& step);
  void perform(const ServiceName& service, const RolloutSteps::ReadOrder& step);
  void perform(const ServiceName& service, const RolloutSteps::WriteStatus& step);
  bool actsAs(const DutyHolder& holder) const;
  void readOrders(const ObjectFollower::Objects& objects);
  void adopt(std::uint64_t epoch, const std::vector<RolloutRecord>& stored);
  void applyOrders(const RolloutView& view);
  void applyOrder(const RolloutOrder& order, const RolloutView& view);
  void withdrawMissing();
  void logChanges(const ServiceName& service, RolloutPlan& plan) const;

  RolloutPorts ports_;
  RolloutPolicy policy_;
  FleetMember self_;
  Metrics& metrics_;
  ObjectFollower follower_;

  mutable std::mutex mutex_;
  Plans plans_;
  /// The last orders read, by service; nothing since another daemon held the duties.
  std::optional<std::map<ServiceName, RolloutOrder>> orders_;
  /// The epoch under which this daemon acts; 0 if it never held the duties.
  std::uint64_t epoch_ = 0;
  bool acting_ = false;

  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_ROLLOUTRUNNER_H
