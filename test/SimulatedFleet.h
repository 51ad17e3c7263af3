// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SIMULATEDFLEET_H
#define HALLCHUTE_TEST_SIMULATEDFLEET_H

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Hallchute/Fleet"

namespace Hallchute {

/// \brief A fleet whose daemons exchange reports in virtual time. Times in ms from its start.
class SimulatedFleet {
 public:
  static constexpr int kStepMs = 10;
  static constexpr int kReportPeriodMs = 200;
  static constexpr int kReportDelayMs = 60;
  /// How long a daemon must have run undisturbed before the fleet's bounds hold for it.
  static constexpr int kContactMs = 3'000;

  /// \brief The fleet is split into two parts for some time: the first daemons, and the others.
  struct Partition {
    int firstPart = 0;
    int fromMs = 0;
    int toMs = 0;
  };

  SimulatedFleet(int daemons, Partition partition);

  int size() const { return static_cast<int>(views_.size()); }
  /// \brief Starts or restarts a daemon, which knows only the seeds and the fleet's earlier size.
  void start(int daemon, int ms);
  void dropReportsUnderWay() { underWay_.clear(); }
  FleetView& view(int daemon) { return *views_[static_cast<std::size_t>(daemon)]; }
  /// \brief Whether a daemon reports at that time.
  static bool reportsAt(int daemon, int ms);
  void report(int daemon, const FleetReport& own, int ms);
  /// \brief Delivers the reports that have arrived; \p onReport gets each after the view.
  void deliver(int ms, const std::function<bool(int daemon)>& receives,
               const std::function<void(int daemon, const FleetReport& report)>& onReport);
  /// \brief Whether the fleet has just been split: daemons don't know of it yet.
  bool partitionStarting(int ms) const;
  /// \brief Whether a message between two daemons arrives.
  bool reaches(int from, int to, int ms) const;

  static Instant at(int ms) { return Instant(std::chrono::hours(1)) + Millis(ms); }

 private:
  struct SentReport {
    int ms = 0;
    int to = 0;
    FleetReport report;
  };

  static std::string addressOf(int daemon);
  FleetMember memberOf(int daemon, int ms) const;

  Partition partition_;
  std::vector<std::unique_ptr<FleetView>> views_;
  std::deque<SentReport> underWay_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_SIMULATEDFLEET_H
