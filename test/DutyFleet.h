// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_DUTYFLEET_H
#define HALLCHUTE_TEST_DUTYFLEET_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Hallchute/Duty"
#include "Hallchute/Fleet"

namespace Hallchute {

/// \brief Simulates in virtual time a fleet whose daemons serve runs, exchange fleet reports and
/// perform the duties.
///
/// Failures are configured before run(). The platform's store accepts a write only if it names the
/// current revision; the platform keeps the first usage report of each window.
class DutyFleet {
 public:
  static constexpr int kWindowMs = 5'000;
  static constexpr int kReportDeadlineMs = 10'000;
  /// Runs started per second at each daemon.
  static constexpr int kRunsPerSecond = 50;

  DutyFleet(int daemons, int domains);

  /// \brief Powers off host \p host from \p from to \p to.
  void powerOff(int host, int from, int to) { outages_.push_back({host, from, to}); }
  /// \brief Powers off the host that holds the duties at \p from, until \p to.
  void powerOffHolder(int from, int to) { outages_.push_back({kCurrentHolder, from, to}); }
  /// \brief Starts a planned stop of the holder of the duties at \p from; it serves until \p to.
  void stopHolder(int from, int to) { stops_.push_back({kCurrentHolder, from, to}); }
  /// \brief Makes the store reject all calls of the holder of the duties at \p from, until \p to.
  void rejectCallsOfHolder(int from, int to) { rejections_.push_back({kCurrentHolder, from, to}); }
  void powerOffAll(int from, int to);
  /// \brief Partitions failure domain \p domain from all others, in both directions.
  void isolateDomain(int domain, int from, int to) { partitions_.push_back({domain, from, to}); }
  /// \brief Shifts the wall clock of host \p host by \p offset ms; negative values set it back.
  void setClockOffset(int host, int from, int to, int offset) {
    clockOffsets_.push_back({host, from, to, offset});
  }
  void run(int untilMs);

  /// \brief Describes the windows whose report was due and is missing, late or off by more than 5%.
  std::string inaccurateWindows() const;
  /// \brief Number of runs of a window that its report does not count: all of them if there was no
  /// report in time. Windows are numbered from the start of run().
  int missingRuns(int window) const;
  /// \brief Number of reports whose counts differ from the first report of their window.
  int conflictingReports() const { return conflictingReports_; }
  /// \brief Total time without a holder of the duties, in ms, after the first one took over.
  int unheldMs() const { return unheldMs_; }
  /// \brief Epoch of the stored holder: the number of takeovers so far.
  std::uint64_t epoch() const { return stored_ ? stored_->record.holder.epoch : 0; }

 private:
  static constexpr int kCurrentHolder = -1;
  struct Failure {
    int host = 0;
    int from = 0;
    int to = 0;
  };
  struct Partition {
    int domain = 0;
    int from = 0;
    int to = 0;
  };
  struct ClockOffset {
    int host = 0;
    int from = 0;
    int to = 0;
    int offset = 0;
  };
  struct Host {
    std::string name;
    int domain = 0;
    std::unique_ptr<FleetView> view;
    std::unique_ptr<DutyStateMachine> stateMachine;
    UsageByWindow usage;
    int restartsAt = 0;
    /// When its planned stop completes; 0 while no stop is in progress.
    int stopsAt = 0;
    /// Until when the store rejects its calls.
    int rejectedUntil = 0;
  };
  struct SentReport {
    int ms = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    FleetReport report;
  };
  struct Report {
    int ms = 0;
    std::uint64_t count = 0;
  };

  static Instant at(int ms);
  void start(std::size_t index, int ms);
  void applyOutages(int ms);
  void applyRejectionsAndStops(int ms);
  void runDaemon(std::size_t index, int ms);
  void serve(Host& host, int ms);
  void report(std::size_t index, int ms);
  void deliver(const SentReport& sent, int ms);
  DutyFacts facts(const Host& host, int ms) const;
  void runDuties(Host& host, int ms);
  void release(Host& host, int ms);
  void perform(Host& host, const DutySteps::Nothing& step, int ms);
  void perform(Host& host, const DutySteps::Read& step, int ms);
  void perform(Host& host, const DutySteps::Create& step, int ms);
  void perform(Host& host, const DutySteps::Write& step, int ms);
  void perform(Host& host, const DutySteps::SendUsage& step, int ms);
  void writeRecord(Host& host, const DutyRecord& record, std::uint64_t revision, int ms);
  /// Wall clock time of a host, including its configured offset.
  Millis wallClock(std::size_t index, int ms) const;
  bool partitioned(int domain, int other, int ms) const;
  /// Reports the outcome `unavailable` if the store rejects the host's calls at present.
  /// \returns whether it does.
  bool rejectIfUnavailable(Host& host, int ms);
  bool isHolder(const Host& host) const;

  std::vector<Host> hosts_;
  std::map<std::string, std::size_t> byAddress_;
  std::vector<Failure> outages_;
  std::vector<Failure> stops_;
  std::vector<Failure> rejections_;
  std::vector<Partition> partitions_;
  std::vector<ClockOffset> clockOffsets_;
  std::deque<SentReport> sentReports_;
  std::optional<StoredDutyRecord> stored_;
  std::uint64_t highestEpoch_ = 0;
  std::map<std::int64_t, std::uint64_t> served_;
  std::map<std::int64_t, Report> reports_;
  int conflictingReports_ = 0;
  int unheldMs_ = 0;
  int now_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_DUTYFLEET_H
