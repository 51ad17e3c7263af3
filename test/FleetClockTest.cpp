// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "Hallchute/Fleet"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
/// Of the right clocks, ahead of the monotonic one.
constexpr Millis kRight{1'000'000'000};

class FleetClockTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetClockTest);
  CPPUNIT_TEST(stepsByTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Clocks of others are set at 10 s, by these ms. The own host's clock is the first one.
  void stepsByTable() {
    struct Row {
      const char* story;
      bool starting;
      std::vector<int> clocks;
      int forMs;
      int clockAfter;
      int clockInTheEnd;
    };
    const std::vector<Row> rows{
        {"no step", false, {0, 0, 0}, 60'000, 0, 0},
        {"late reports", false, {0, -40, -80}, 60'000, 0, 0},
        {"one of three, the own", false, {-2'500, 0, 0}, 60'000, 0, 0},
        {"one of three, another", false, {0, 2'500, 0}, 60'000, 0, 0},
        {"one of two", false, {0, 2'500}, 60'000, 0, 0},
        {"alone, for a while", false, {-2'500}, 6'000, 0, 0},
        {"alone, for good", false, {-2'500}, 60'000, 0, -2'500},
        {"most, for good", false, {0, 2'500, 2'500}, 60'000, 0, 2'500},
        {"meets the others", true, {0, 2'500, 2'500}, 60'000, 2'500, 2'500},
        {"alone at a start", true, {2'500}, 60'000, 2'500, 2'500},
    };
    for (const Row& row : rows) {
      FleetClock clock;
      std::vector<Millis> set;
      for (const int ahead : row.clocks) set.push_back(kRight + Millis(ahead));
      const std::vector<Millis> right(row.clocks.size(), kRight);
      for (int ms = 0; ms < 60'000; ms += 200) {
        const bool stepped = ms >= 10'000 && ms < 10'000 + row.forMs;
        clock.adjust(stepped ? set : right, row.starting, kStart + Millis(ms));
        if (ms == 15'000) check(row.story, row.clockAfter, clock);
      }
      check(row.story, row.clockInTheEnd, clock);
    }
  }

 private:
  static void check(const std::string& story, int ahead, const FleetClock& clock) {
    const auto off = static_cast<int>((clock.offset() - kRight).count());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(story, ahead, off);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetClockTest);

}  // namespace
