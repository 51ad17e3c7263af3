// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SIMULATEDDAEMONS_H
#define HALLCHUTE_TEST_SIMULATEDDAEMONS_H

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "Hallchute/Gateway"

namespace Hallchute {

/// The upstream tables of all daemons.
class SimulatedDaemons {
 public:
  static constexpr int kReportPeriodMs = 200;
  /// Time until a daemon's report has reached all others in a fleet with relays.
  static constexpr int kReportDelayMs = 500;

  static Instant at(int ms) { return Instant(std::chrono::hours(1)) + Millis(ms); }
  void start(std::size_t daemons, std::span<const UpstreamRecord> records, bool estimates) {
    for (std::size_t i = 0; i < daemons; ++i) {
      tables_.push_back(std::make_unique<UpstreamTable>());
      tables_.back()->replace(records, at(0));
      tables_.back()->setUsesEstimates(estimates);
    }
  }
  void replace(std::span<const UpstreamRecord> records, int now) {
    for (const auto& table : tables_) table->replace(records, at(now));
  }
  std::size_t size() const { return tables_.size(); }
  UpstreamTable& table(std::size_t daemon) { return *tables_[daemon]; }
  /// Lets every daemon lose the reports of the others, which then count as expired.
  void loseReports(int now) {
    for (const auto& table : tables_) table->setPeerLoads({}, at(now));
  }
  /// Gives every daemon the loads of its peers as of kReportDelayMs ago; its own load is current.
  void exchangeReports(int now) {
    std::vector<UpstreamLoads>& currentLoads = reportedLoads_[now];
    for (const auto& table : tables_) currentLoads.push_back(table->ownLoads());
    const auto firstUnreported = reportedLoads_.upper_bound(now - kReportDelayMs);
    if (firstUnreported == reportedLoads_.begin()) return;
    const std::vector<UpstreamLoads>& reported = std::prev(firstUnreported)->second;
    UpstreamLoads sum;
    for (const UpstreamLoads& loads : reported) {
      for (const auto& [id, load] : loads) sum[id] += load;
    }
    for (std::size_t i = 0; i < tables_.size(); ++i) {
      UpstreamLoads others = sum;
      for (const auto& [id, load] : reported[i]) others[id] -= load;
      tables_[i]->setPeerLoads(others, at(now));
    }
  }

 private:
  std::vector<std::unique_ptr<UpstreamTable>> tables_;
  std::map<int, std::vector<UpstreamLoads>> reportedLoads_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_SIMULATEDDAEMONS_H
