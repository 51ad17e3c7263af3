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
constexpr int kLength = 45'000;
/// Failures begin at all moments of a window, this far apart.
constexpr int kMoment = 250;
/// The windows before are those of the fleet's start.
constexpr int kFirstFailure = 20'000;

class DutyWindowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DutyWindowsTest);
  CPPUNIT_TEST(aHolderThatStartsAgainReportsWhatItsPeersKnow);
  CPPUNIT_TEST(aWindowWaitsForACutThatEndsBeforeItsReportIsDue);
  CPPUNIT_TEST(whatWasCountedBeforeAllDaemonsEndedIsReported);
  CPPUNIT_TEST(clocksThatAreSetMoveNoRequestsBetweenWindows);
  CPPUNIT_TEST(aHolderThatIsStoppedHandsTheDutiesOver);
  CPPUNIT_TEST(aHolderThatTheStoreTurnsAwayResigns);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// All daemons ended a second after a window's end, and it was reported as 0. What the last
  /// second before the end counted is lost: a window of five that ends within it may be off.
  void whatWasCountedBeforeAllDaemonsEndedIsReported() {
    std::string wrong;
    for (const int down : {800, 3'000}) {
      for (int moment = 0; moment < DutyFleet::kWindow; moment += kMoment) {
        DutyFleet fleet(kDaemons, kDomains);
        const int from = kFirstFailure + moment;
        fleet.powerOffAll(from, from + down);
        fleet.run(kLength);
        // Daemons, and so counts, of the window in which they ended.
        const int killed = from / DutyFleet::kWindow;
        const std::string story = "off at " + std::to_string(from) + " for " + std::to_string(down);
        const int lost = fleet.uncounted(killed);
        const int most = kDaemons * DutyFleet::kRunsPerSecond * 3 / 2;
        if (lost < 0 || lost > most) wrong += story + ": " + std::to_string(lost) + " uncounted\n";
        if (moment >= 1'500) {
          const int before = fleet.uncounted(killed - 1);
          if (before != 0) wrong += story + ": window before " + std::to_string(before) + "\n";
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(story, 0, fleet.contradictions());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }

  /// A holder that had just started reported windows as 0 that all of its peers had counted.
  void aHolderThatStartsAgainReportsWhatItsPeersKnow() {
    std::string wrong;
    for (const int down : {1'000, 4'000}) {
      for (int moment = 0; moment < DutyFleet::kWindow; moment += kMoment) {
        DutyFleet fleet(kDaemons, kDomains);
        const int from = kFirstFailure + moment;
        fleet.powerOffHolder(from, from + down);
        fleet.run(kLength);
        const std::string story = "off at " + std::to_string(from) + " for " + std::to_string(down);
        if (!fleet.wrongWindows().empty()) wrong += story + ":" + fleet.wrongWindows() + "\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(story, 0, fleet.contradictions());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }

  /// A domain that was cut off had told its counts too late, though the report was not due yet.
  void aWindowWaitsForACutThatEndsBeforeItsReportIsDue() {
    std::string wrong;
    for (int afterWindow = 0; afterWindow <= 6'000; afterWindow += kMoment) {
      DutyFleet fleet(kDaemons, kDomains);
      fleet.cut(1, kFirstFailure + 3'000, kFirstFailure + DutyFleet::kWindow + afterWindow);
      fleet.run(kLength);
      const std::string story = "cut healed after " + std::to_string(afterWindow);
      if (!fleet.wrongWindows().empty()) wrong += story + ":" + fleet.wrongWindows() + "\n";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(story, 0, fleet.contradictions());
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }

  /// After each planned stop of the holder nobody ordered replicas or reported for the 5.5 s until
  /// its lease was taken for ended.
  void aHolderThatIsStoppedHandsTheDutiesOver() {
    for (int moment = 0; moment < DutyFleet::kWindow; moment += kMoment) {
      DutyFleet fleet(kDaemons, kDomains);
      const int from = kFirstFailure + moment;
      fleet.stopHolder(from, from + 3'000);
      fleet.run(kLength);
      const std::string story = "stopped at " + std::to_string(from);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(story, std::string(), fleet.wrongWindows());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(story, std::uint64_t{2}, fleet.epoch());
      CPPUNIT_ASSERT_MESSAGE(story + std::to_string(fleet.unheld()), fleet.unheld() <= 2'000);
    }
  }

  /// The store turned the holder alone away: as its peers heard it nobody took over, nobody ordered
  /// replicas, and reports came late.
  void aHolderThatTheStoreTurnsAwayResigns() {
    for (int moment = 0; moment < DutyFleet::kWindow; moment += kMoment) {
      DutyFleet fleet(kDaemons, kDomains);
      const int from = kFirstFailure + moment;
      fleet.turnHolderAway(from, from + 16'000);
      fleet.run(kLength);
      const std::string story = "turned away at " + std::to_string(from);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(story, std::string(), fleet.wrongWindows());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(story, 0, fleet.contradictions());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(story, std::uint64_t{2}, fleet.epoch());
    }
  }

  /// A third of the daemons' clocks were set back for six seconds: 1160 requests of 921 were
  /// reported, and 634 in the next window. The holder is among them, and some start by such a
  /// clock.
  void clocksThatAreSetMoveNoRequestsBetweenWindows() {
    struct Row {
      int daemons;
      int ahead;
      bool starts;
    };
    const std::vector<Row> rows{{7, -2'500, false},
                                {7, 4'000, false},
                                {7, -2'500, true},
                                {24, -2'500, false},
                                {24, 4'000, true}};
    std::string wrong;
    for (const Row& row : rows) {
      for (int moment = 0; moment < DutyFleet::kWindow; moment += 1'000) {
        DutyFleet fleet(row.daemons, kDomains);
        const int from = kFirstFailure + moment;
        for (int i = 0; i < row.daemons; i += 3) fleet.stepClock(i, from, from + 6'000, row.ahead);
        if (row.starts) fleet.powerOff(row.daemons / 3 * 3 - 3, from + 500, from + 1'000);
        fleet.run(kLength);
        const std::string story = std::to_string(row.daemons) + " daemons, " +
                                  std::to_string(row.ahead) + " at " + std::to_string(from);
        if (!fleet.wrongWindows().empty()) wrong += story + ":" + fleet.wrongWindows() + "\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE(story, 0, fleet.contradictions());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DutyWindowsTest);

}  // namespace
