// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <string>
#include <vector>

#include "ModelFleet.h"

namespace {

using namespace Hallchute;

constexpr int kLongObjectiveMs = 800;
constexpr int kShortObjectiveMs = 500;
constexpr std::size_t kLong = 0;
constexpr std::size_t kShort = 1;
constexpr int kRunMs = 20'000;

/// The load of a day with long and short streams, as a fraction of engines of speed 1.
constexpr double kUsualLoad = 0.68;

ModelScenario streams(std::size_t daemons) {
  ModelScenario scenario;
  scenario.daemons = daemons;
  scenario.estimates = true;
  scenario.engines = 60;
  scenario.tokensPerMs = 112;
  scenario.slots = 64;
  scenario.queueLimit = 134;
  scenario.cachedPrefixes = 32;
  scenario.kinds = {{5'382, 6'610, 1'240, kLongObjectiveMs, 0.3},
                    {568, 1'800, 68, kShortObjectiveMs, 0.7}};
  return scenario;
}

double unequalSpeed(std::size_t engine, int /*ms*/) {
  return engine % 3 == 2 ? 1.7 : 0.7;
}

double equalSpeed(std::size_t /*engine*/, int /*ms*/) {
  return 1;
}

double oneSlow(std::size_t engine, int ms) {
  return engine == 7 && ms >= 5'000 && ms < 15'000 ? 0.2 : 1;
}

bool allListed(std::size_t /*engine*/, int /*ms*/) {
  return true;
}

/// A third of the engines is taken away for 8 s.
bool twoThirdsListed(std::size_t engine, int ms) {
  return engine >= 20 || ms < 6'000 || ms >= 14'000;
}

bool reported(int /*ms*/) {
  return true;
}

bool reportsLost(int ms) {
  return ms < 8'000 || ms >= 12'000;
}

double usual(int /*ms*/) {
  return kUsualLoad;
}

/// Twice the usual load for 4 s.
double burst(int ms) {
  return ms >= 8'000 && ms < 12'000 ? 2 * kUsualLoad : kUsualLoad;
}

/// Three upstreams of a service that respond to 20 requests per second each; one of them becomes
/// slow.
class ObservedUpstreams {
 public:
  ObservedUpstreams() {
    std::vector<UpstreamRecord> records(3);
    for (std::size_t i = 0; i < records.size(); ++i) {
      records[i].id = UpstreamId("e" + std::to_string(i));
      records[i].service = ServiceName("s");
    }
    table_.setUsesEstimates(true);
    table_.replace(records, SimulatedDaemons::at(0));
  }
  /// Lets the upstreams respond until \p end, the first at a fraction of the speed of the others.
  void respond(int end, double speed) {
    for (; now_ < end; now_ += 50) {
      const Instant now = SimulatedDaemons::at(now_);
      table_.noteProcessed(UpstreamId("e0"), 1'000, Millis(static_cast<int>(40 / speed)), now);
      table_.noteProcessed(UpstreamId("e1"), 1'000, Millis(40), now);
      table_.noteProcessed(UpstreamId("e2"), 1'000, Millis(40), now);
      if (now_ % SimulatedDaemons::kReportPeriodMs == 0) table_.setPeerLoads({}, now);
    }
  }
  /// Lets time pass without responses.
  void rest(int end) {
    for (; now_ < end; now_ += SimulatedDaemons::kReportPeriodMs)
      table_.setPeerLoads({}, SimulatedDaemons::at(now_));
  }
  double relativeSpeed() const { return table_.find(UpstreamId("e0"))->estimate.relativeSpeed; }
  Millis firstEvent() const {
    return table_.predictedFirstEvent(*table_.find(UpstreamId("e0")), 1'000);
  }

 private:
  UpstreamTable table_;
  int now_ = 0;
};

class EstimatesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EstimatesTest);
  CPPUNIT_TEST(promptsFollowSpeeds);
  CPPUNIT_TEST(changesOfSpeedAreNoticed);
  CPPUNIT_TEST(fullUpstreamsAreAvoided);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against engines that are overloaded although others could respond on time: unequal or
  /// slow engines, a third of them away, a burst, lost reports. The bounds are the objectives.
  void promptsFollowSpeeds() {
    struct Row {
      std::string name;
      double (*speed)(std::size_t, int);
      bool (*listed)(std::size_t, int);
      bool (*reports)(int);
      double (*load)(int);
      double quantile;
    };
    const std::vector<Row> rows{
        {"unequal engines", unequalSpeed, allListed, reported, usual, 0.95},
        {"unequal engines, burst", unequalSpeed, allListed, reported, burst, 0.95},
        {"a third taken away", unequalSpeed, twoThirdsListed, reported, usual, 0.95},
        {"one slow engine", oneSlow, allListed, reported, usual, 0.99},
        {"equal engines, burst", equalSpeed, allListed, reported, burst, 0.95},
        {"reports lost", unequalSpeed, allListed, reportsLost, usual, 0.95},
    };
    std::string failures;
    for (const Row& row : rows) {
      for (const std::size_t daemons : {7UL, 77UL, 295UL}) {
        ModelScenario scenario = streams(daemons);
        scenario.speed = row.speed;
        scenario.listed = row.listed;
        scenario.reports = row.reports;
        const ModelResult result = ModelFleet(scenario).run(kRunMs, row.load);
        const int longMs = result.timeToFirstTokenMs(row.quantile, kLong);
        const int shortMs = result.timeToFirstTokenMs(row.quantile, kShort);
        if (longMs <= kLongObjectiveMs && shortMs <= kShortObjectiveMs) continue;
        failures += row.name + ", " + std::to_string(daemons) +
                    " daemons: " + std::to_string(longMs) + " and " + std::to_string(shortMs) +
                    " ms; ";
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  /// Guards against estimates that lag behind, and against those that outlive their observations.
  void changesOfSpeedAreNoticed() {
    ObservedUpstreams upstreams;
    upstreams.respond(10'000, 1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, upstreams.relativeSpeed(), 0.01);
    upstreams.respond(12'500, 0.2);
    CPPUNIT_ASSERT_LESS(0.5, upstreams.relativeSpeed());
    CPPUNIT_ASSERT(upstreams.firstEvent() > Millis(80));
    upstreams.respond(20'000, 0.2);
    upstreams.respond(23'000, 1);
    CPPUNIT_ASSERT_GREATER(0.5, upstreams.relativeSpeed());
    upstreams.respond(30'000, 0.2);
    upstreams.rest(45'000);
    CPPUNIT_ASSERT_GREATER(0.9, upstreams.relativeSpeed());
  }

  /// Guards against requests that are rejected while other upstreams have room: rejected ones need
  /// a retry, and the budget of retries is small.
  void fullUpstreamsAreAvoided() {
    UpstreamTable table;
    std::vector<UpstreamRecord> records(2);
    for (std::size_t i = 0; i < records.size(); ++i) {
      records[i].id = UpstreamId("e" + std::to_string(i));
      records[i].service = ServiceName("s");
      records[i].slots = 4;
    }
    table.setUsesEstimates(true);
    table.replace(records, SimulatedDaemons::at(0));
    UpstreamCriteria criteria;
    criteria.service = ServiceName("s");
    criteria.affinity = "subject";
    const UpstreamId first = pickUpstream(table, criteria, SimulatedDaemons::at(0))->record.id;
    // Below the load bound, whose slack is six requests.
    UpstreamLoads loads;
    loads[first].requests = 7;
    table.setPeerLoads(loads, SimulatedDaemons::at(0));
    const UpstreamEntry* picked = pickUpstream(table, criteria, SimulatedDaemons::at(0));
    CPPUNIT_ASSERT(picked->record.id != first);
    for (const UpstreamRecord& record : records) loads[record.id].requests = 7;
    table.setPeerLoads(loads, SimulatedDaemons::at(0));
    picked = pickUpstream(table, criteria, SimulatedDaemons::at(0));
    CPPUNIT_ASSERT(picked->record.id == first);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EstimatesTest);

}  // namespace
