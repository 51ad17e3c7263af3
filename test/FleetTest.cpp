// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "Hallchute/Fleet"
#include "Hallchute/src/Node/FleetWire.h"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
const OrganisationName kOrg("org");

Instant at(int ms) {
  return kStart + Millis(ms);
}

FleetReport reportOf(const std::string& daemon, std::uint64_t incarnation) {
  FleetReport report;
  report.self = {DaemonId(daemon), daemon + ":1", incarnation};
  return report;
}

class FleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetTest);
  CPPUNIT_TEST(tellsWhatWasSpentSinceTheLastReport);
  CPPUNIT_TEST(heardAndKnownByTime);
  CPPUNIT_TEST(learnsAddressesFromOthers);
  CPPUNIT_TEST(keepsTheUsageOfADaemonThatRestarted);
  CPPUNIT_TEST(ignoresReportsOfAnEarlierLife);
  CPPUNIT_TEST(tellsLeavesOnce);
  CPPUNIT_TEST(reportsSurviveTheWire);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tellsWhatWasSpentSinceTheLastReport() {
    FleetView view({DaemonId("self"), "self:1", 1});
    FleetReport report = reportOf("a", 1);
    report.spent[kOrg] = 10;
    CPPUNIT_ASSERT_EQUAL(10.0, view.receive(report, at(0)).spentMore.at(kOrg));
    report.spent[kOrg] = 25;
    CPPUNIT_ASSERT_EQUAL(15.0, view.receive(report, at(1)).spentMore.at(kOrg));
    CPPUNIT_ASSERT(view.receive(report, at(2)).spentMore.empty());
    // A new life counts from nothing.
    report.self.incarnation = 2;
    report.spent[kOrg] = 5;
    const FleetNews news = view.receive(report, at(3));
    CPPUNIT_ASSERT(news.newIncarnation);
    CPPUNIT_ASSERT_EQUAL(5.0, news.spentMore.at(kOrg));
  }

  void heardAndKnownByTime() {
    FleetView view({DaemonId("self"), "self:1", 1});
    view.receive(reportOf("a", 1), at(0));
    view.receive(reportOf("b", 1), at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view.heard(at(500)));
    view.receive(reportOf("a", 1), at(2'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.heard(at(2'000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, view.known(at(2'000)));
    CPPUNIT_ASSERT(view.find(DaemonId("b"), at(2'000)) == nullptr);
    CPPUNIT_ASSERT(view.find(DaemonId("a"), at(2'000)) != nullptr);
    FleetReport leaving = reportOf("a", 1);
    leaving.leaving = true;
    view.receive(leaving, at(2'100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.heard(at(2'200)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.known(at(20'000)));
  }

  void learnsAddressesFromOthers() {
    FleetView view({DaemonId("self"), "self:1", 1});
    const std::vector<std::string> seeds{"self:1", "seed:1", ""};
    view.addAddresses(seeds);
    CPPUNIT_ASSERT(std::vector<std::string>{"seed:1"} == view.targets(at(0)));
    FleetReport report = reportOf("a", 1);
    report.members = {{DaemonId("b"), "b:1", 1}, {DaemonId("self"), "self:1", 1}};
    view.receive(report, at(0));
    const std::vector<std::string> all{"a:1", "b:1", "seed:1"};
    CPPUNIT_ASSERT(all == view.targets(at(0)));
    // Hearsay is an address, not a daemon that was heard.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.heard(at(0)));
    CPPUNIT_ASSERT(std::vector<std::string>{"seed:1"} == view.targets(at(70'000)));
  }

  void keepsTheUsageOfADaemonThatRestarted() {
    FleetView view({DaemonId("self"), "self:1", 1});
    FleetReport report = reportOf("a", 1);
    report.usage[7][kOrg] = 3;
    view.receive(report, at(0));
    report.self.incarnation = 2;
    report.usage[7][kOrg] = 2;
    view.receive(report, at(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, view.usageElsewhere().at(7).at(kOrg));
    view.forgetUsageBefore(8);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, view.usageElsewhere().at(7).at(kOrg));
  }

  void ignoresReportsOfAnEarlierLife() {
    FleetView view({DaemonId("self"), "self:1", 1});
    view.receive(reportOf("a", 2), at(0));
    FleetReport old = reportOf("a", 1);
    old.spent[kOrg] = 10;
    CPPUNIT_ASSERT(view.receive(old, at(1)).spentMore.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, view.find(DaemonId("a"), at(1))->self.incarnation);
  }

  void tellsLeavesOnce() {
    FleetView view({DaemonId("self"), "self:1", 1});
    FleetReport report = reportOf("a", 1);
    report.draining = {UpstreamId("u")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.receive(report, at(0)).draining.size());
    CPPUNIT_ASSERT(view.receive(report, at(1)).draining.empty());
  }

  void reportsSurviveTheWire() {
    FleetReport report = reportOf("a", 3);
    report.domain = DomainName("d");
    report.settingsVersion = 9;
    report.spent[kOrg] = 1.5;
    report.loads[UpstreamId("u")] = 4;
    report.usage[7][kOrg] = 3;
    report.draining = {UpstreamId("v")};
    report.duties = {DaemonId("h"), 5, 6};
    report.members = {{DaemonId("b"), "b:1", 1}};
    report.leaving = true;
    const auto back = unpack<FleetReport>(pack(report));
    CPPUNIT_ASSERT(back.has_value());
    CPPUNIT_ASSERT(back->self == report.self && back->domain == report.domain);
    CPPUNIT_ASSERT(back->spent == report.spent && back->loads == report.loads);
    CPPUNIT_ASSERT(back->usage == report.usage && back->draining == report.draining);
    CPPUNIT_ASSERT(back->duties == report.duties && back->members == report.members);
    CPPUNIT_ASSERT(back->leaving && back->settingsVersion == 9);
    CPPUNIT_ASSERT(!unpack<FleetReport>("nonsense").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

}  // namespace
