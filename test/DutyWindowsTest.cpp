// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "DutyFleet.h"

namespace {

using namespace Hallchute;

constexpr int kDaemons = 7;
constexpr int kDomains = 3;
constexpr int kDurationMs = 45'000;
/// Spacing of the failures' start times, which cover a whole window.
constexpr int kFailureSpacingMs = 250;
/// The earlier windows are affected by the start of the fleet.
constexpr int kFirstFailureMs = 20'000;

class DutyWindowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DutyWindowsTest);
  CPPUNIT_TEST(restartedHolderReportsTheCountsOfItsPeers);
  CPPUNIT_TEST(windowWaitsForAPartitionThatHealsBeforeItsDeadline);
  CPPUNIT_TEST(countsSurviveAnOutageOfAllDaemons);
  CPPUNIT_TEST(clockChangesMoveNoRequestsBetweenWindows);
  CPPUNIT_TEST(stoppedHolderReleasesTheDuties);
  CPPUNIT_TEST(holderRejectedByTheStoreResigns);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a window that is reported as 0 because all daemons stopped a second after
  /// its end, before its counts were stored. Counts of the last second before an outage are still
  /// lost, so a five-second window that ends within that second may be inaccurate.
  void countsSurviveAnOutageOfAllDaemons() {
    std::string failures;
    for (const int outageMs : {800, 3'000}) {
      for (int phase = 0; phase < DutyFleet::kWindowMs; phase += kFailureSpacingMs) {
        DutyFleet fleet(kDaemons, kDomains);
        const int from = kFirstFailureMs + phase;
        fleet.powerOffAll(from, from + outageMs);
        fleet.run(kDurationMs);
        // The daemons lose counts of the window in which they stop.
        const int outageWindow = from / DutyFleet::kWindowMs;
        const std::string scenario =
            "off at " + std::to_string(from) + " for " + std::to_string(outageMs);
        const int missing = fleet.missingRuns(outageWindow);
        const int maxMissing = kDaemons * DutyFleet::kRunsPerSecond * 3 / 2;
        if (missing < 0 || missing > maxMissing)
          failures += scenario + ": " + std::to_string(missing) + " runs missing\n";
        if (phase >= 1'500) {
          const int before = fleet.missingRuns(outageWindow - 1);
          if (before != 0)
            failures += scenario + ": previous window misses " + std::to_string(before) + "\n";
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario, 0, fleet.conflictingReports());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  /// Guards against a restarted holder that reports 0 for windows that its peers have counted,
  /// because it has not received their counts yet.
  void restartedHolderReportsTheCountsOfItsPeers() {
    std::string failures;
    for (const int outageMs : {1'000, 4'000}) {
      for (int phase = 0; phase < DutyFleet::kWindowMs; phase += kFailureSpacingMs) {
        DutyFleet fleet(kDaemons, kDomains);
        const int from = kFirstFailureMs + phase;
        fleet.powerOffHolder(from, from + outageMs);
        fleet.run(kDurationMs);
        const std::string scenario =
            "off at " + std::to_string(from) + " for " + std::to_string(outageMs);
        if (!fleet.inaccurateWindows().empty())
          failures += scenario + ":" + fleet.inaccurateWindows() + "\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario, 0, fleet.conflictingReports());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  /// Guards against a window that is finalised without the counts of a partitioned domain although
  /// the partition heals before the report is due.
  void windowWaitsForAPartitionThatHealsBeforeItsDeadline() {
    std::string failures;
    for (int afterWindow = 0; afterWindow <= 6'000; afterWindow += kFailureSpacingMs) {
      DutyFleet fleet(kDaemons, kDomains);
      fleet.isolateDomain(1, kFirstFailureMs + 3'000,
                          kFirstFailureMs + DutyFleet::kWindowMs + afterWindow);
      fleet.run(kDurationMs);
      const std::string scenario = "partition healed after " + std::to_string(afterWindow);
      if (!fleet.inaccurateWindows().empty())
        failures += scenario + ":" + fleet.inaccurateWindows() + "\n";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario, 0, fleet.conflictingReports());
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  /// Guards against a gap after a planned stop of the holder: without a release, nobody orders
  /// replicas or reports usage for the 5.5 s until its lease is considered expired.
  void stoppedHolderReleasesTheDuties() {
    for (int phase = 0; phase < DutyFleet::kWindowMs; phase += kFailureSpacingMs) {
      DutyFleet fleet(kDaemons, kDomains);
      const int from = kFirstFailureMs + phase;
      fleet.stopHolder(from, from + 3'000);
      fleet.run(kDurationMs);
      const std::string scenario = "stopped at " + std::to_string(from);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario, std::string(), fleet.inaccurateWindows());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario, std::uint64_t{2}, fleet.epoch());
      CPPUNIT_ASSERT_MESSAGE(scenario + std::to_string(fleet.unheldMs()),
                             fleet.unheldMs() <= 2'000);
    }
  }

  /// Guards against a holder that only the store rejects: as its peers still receive its reports,
  /// nobody takes over, no replicas are ordered, and usage reports are late.
  void holderRejectedByTheStoreResigns() {
    for (int phase = 0; phase < DutyFleet::kWindowMs; phase += kFailureSpacingMs) {
      DutyFleet fleet(kDaemons, kDomains);
      const int from = kFirstFailureMs + phase;
      fleet.rejectCallsOfHolder(from, from + 16'000);
      fleet.run(kDurationMs);
      const std::string scenario = "rejected at " + std::to_string(from);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario, std::string(), fleet.inaccurateWindows());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario, 0, fleet.conflictingReports());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario, std::uint64_t{2}, fleet.epoch());
    }
  }

  /// Guards against requests that are counted in the wrong window. The clocks of a third of the
  /// daemons, the holder's among them, change for six seconds, and some daemons start with such a
  /// clock. With clocks set back and windows numbered by each daemon's own clock, 1160 requests
  /// were reported instead of 921, and 634 in the next window.
  void clockChangesMoveNoRequestsBetweenWindows() {
    struct Row {
      int daemons;
      int offset;
      bool restart;
    };
    const std::vector<Row> rows{{7, -2'500, false},
                                {7, 4'000, false},
                                {7, -2'500, true},
                                {24, -2'500, false},
                                {24, 4'000, true}};
    std::string failures;
    for (const Row& row : rows) {
      for (int phase = 0; phase < DutyFleet::kWindowMs; phase += 1'000) {
        DutyFleet fleet(row.daemons, kDomains);
        const int from = kFirstFailureMs + phase;
        for (int i = 0; i < row.daemons; i += 3)
          fleet.setClockOffset(i, from, from + 6'000, row.offset);
        if (row.restart) fleet.powerOff(row.daemons / 3 * 3 - 3, from + 500, from + 1'000);
        fleet.run(kDurationMs);
        const std::string scenario = std::to_string(row.daemons) + " daemons, " +
                                     std::to_string(row.offset) + " at " + std::to_string(from);
        if (!fleet.inaccurateWindows().empty())
          failures += scenario + ":" + fleet.inaccurateWindows() + "\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario, 0, fleet.conflictingReports());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DutyWindowsTest);

}  // namespace
