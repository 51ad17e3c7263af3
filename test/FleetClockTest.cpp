// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "Hallchute/Fleet"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
/// Offset of correct wall clocks from the monotonic clock.
constexpr Millis kCorrectOffset{1'000'000'000};

class FleetClockTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetClockTest);
  CPPUNIT_TEST(clockStepsByTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// At 10 s the hosts' clocks are stepped by `clockSteps` ms, the own host's clock being the
  /// first.
  void clockStepsByTable() {
    struct Row {
      const char* label;
      bool starting;
      std::vector<int> clockSteps;
      int stepDurationMs;
      int offsetAfter5sMs;
      int finalOffsetMs;
    };
    const std::vector<Row> rows{
        {"no step", false, {0, 0, 0}, 60'000, 0, 0},
        {"late reports", false, {0, -40, -80}, 60'000, 0, 0},
        {"own clock of three", false, {-2'500, 0, 0}, 60'000, 0, 0},
        {"another clock of three", false, {0, 2'500, 0}, 60'000, 0, 0},
        {"one clock of two", false, {0, 2'500}, 60'000, 0, 0},
        {"no peers, temporary step", false, {-2'500}, 6'000, 0, 0},
        {"no peers, permanent step", false, {-2'500}, 60'000, 0, -2'500},
        {"majority, permanent step", false, {0, 2'500, 2'500}, 60'000, 0, 2'500},
        {"discovering peers", true, {0, 2'500, 2'500}, 60'000, 2'500, 2'500},
        {"no peers at start", true, {2'500}, 60'000, 2'500, 2'500},
    };
    for (const Row& row : rows) {
      FleetClock clock;
      std::vector<Millis> steppedOffsets;
      for (const int step : row.clockSteps) steppedOffsets.push_back(kCorrectOffset + Millis(step));
      const std::vector<Millis> correctOffsets(row.clockSteps.size(), kCorrectOffset);
      for (int ms = 0; ms < 60'000; ms += 200) {
        const bool stepped = ms >= 10'000 && ms < 10'000 + row.stepDurationMs;
        clock.adjust(stepped ? steppedOffsets : correctOffsets, row.starting, kStart + Millis(ms));
        if (ms == 15'000) check(row.label, row.offsetAfter5sMs, clock);
      }
      check(row.label, row.finalOffsetMs, clock);
    }
  }

 private:
  static void check(const std::string& label, int expected, const FleetClock& clock) {
    const auto actual = static_cast<int>((clock.offset() - kCorrectOffset).count());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(label, expected, actual);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetClockTest);

}  // namespace
