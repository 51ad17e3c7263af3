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

/// \brief A fleet in virtual time whose daemons serve, report to each other and keep the duties.
///
/// Failures are set before run(). The platform's store takes a write under the revision that it
/// names, and remembers the first report of each window.
class DutyFleet {
 public:
  static constexpr int kWindow = 5'000;
  static constexpr int kDue = 10'000;
  /// Runs that begin at each daemon.
  static constexpr int kRunsPerSecond = 50;

  DutyFleet(int daemons, int domains);

  /// \brief Host \p host has no power from \p from to \p to.
  void powerOff(int host, int from, int to) { outages_.push_back({host, from, to}); }
  /// \brief The holder of the duties at \p from loses power until \p to.
  void powerOffHolder(int from, int to) { outages_.push_back({kHolder, from, to}); }
  /// \brief The holder of the duties at \p from is stopped as planned: it serves until \p to.
  void stopHolder(int from, int to) { stops_.push_back({kHolder, from, to}); }
  /// \brief The store turns the holder of the duties at \p from away until \p to.
  void turnHolderAway(int from, int to) { refusals_.push_back({kHolder, from, to}); }
  void powerOffAll(int from, int to);
  /// \brief Domain \p domain hears no other domain, nor they it.
  void cut(int domain, int from, int to) { cuts_.push_back({domain, from, to}); }
  /// \brief The wall clock of host \p host is \p ahead ms ahead, or behind if negative.
  void stepClock(int host, int from, int to, int ahead) {
    steps_.push_back({host, from, to, ahead});
  }
  void run(int untilMs);

  /// \brief Windows whose report was due, and is missing, late or off by over a twentieth.
  std::string wrongWindows() const;
  /// \brief Runs of a window, counted from the start of run(), that its report lacks; all if there
  /// is none in time.
  int uncounted(int window) const;
  /// \brief Reports of a window with other counts than the first one.
  int contradictions() const { return contradictions_; }
  /// \brief How long nobody could hold the duties, in ms, but for the fleet's start.
  int unheld() const { return unheld_; }
  /// \brief How often the duties changed hands.
  std::uint64_t epoch() const { return stored_ ? stored_->record.holder.epoch : 0; }

 private:
  static constexpr int kHolder = -1;
  struct Failure {
    int host = 0;
    int from = 0;
    int to = 0;
  };
  struct Cut {
    int domain = 0;
    int from = 0;
    int to = 0;
  };
  struct Step {
    int host = 0;
    int from = 0;
    int to = 0;
    int ahead = 0;
  };
  struct Host {
    std::string name;
    int domain = 0;
    std::unique_ptr<FleetView> view;
    std::unique_ptr<DutyStateMachine> keeper;
    UsageByWindow usage;
    int backAt = 0;
    /// When it ends, while it is leaving.
    int endsAt = 0;
    /// Until when the store turns it away.
    int refusedUntil = 0;
  };
  struct Sent {
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
  void fail(int ms);
  void leave(int ms);
  void turn(std::size_t index, int ms);
  void serve(Host& host, int ms);
  void report(std::size_t index, int ms);
  void deliver(const Sent& sent, int ms);
  DutyFacts facts(const Host& host, int ms) const;
  void keep(Host& host, int ms);
  void release(Host& host, int ms);
  void perform(Host& host, const DutySteps::Nothing& step, int ms);
  void perform(Host& host, const DutySteps::Read& step, int ms);
  void perform(Host& host, const DutySteps::Create& step, int ms);
  void perform(Host& host, const DutySteps::Write& step, int ms);
  void perform(Host& host, const DutySteps::SendUsage& step, int ms);
  void put(Host& host, const DutyRecord& record, std::uint64_t revision, int ms);
  /// By the host's own clock.
  Millis wallClock(std::size_t index, int ms) const;
  bool apart(int domain, int other, int ms) const;
  /// \returns whether the store turned the call away.
  bool refused(Host& host, int ms);
  bool isHolder(const Host& host) const;

  std::vector<Host> hosts_;
  std::map<std::string, std::size_t> byAddress_;
  std::vector<Failure> outages_;
  std::vector<Failure> stops_;
  std::vector<Failure> refusals_;
  std::vector<Cut> cuts_;
  std::vector<Step> steps_;
  std::deque<Sent> sent_;
  std::optional<StoredDutyRecord> stored_;
  std::uint64_t highestEpoch_ = 0;
  std::map<std::int64_t, std::uint64_t> served_;
  std::map<std::int64_t, Report> reports_;
  int contradictions_ = 0;
  int unheld_ = 0;
  int now_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_DUTYFLEET_H
