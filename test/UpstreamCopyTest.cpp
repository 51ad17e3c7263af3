// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/UpstreamCopy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Fleet/StoreFreshness.h"

namespace {

using namespace Hallchute;

Instant at(int ms) {
  return Instant{} + std::chrono::hours(1) + Millis(ms);
}

constexpr int kRetentionMs = static_cast<int>(LapsedUpstreams::kReregistrationTime.count());

std::vector<UpstreamRecord> listOf(const std::vector<std::string>& names) {
  std::vector<UpstreamRecord> list;
  for (const std::string& name : names) list.emplace_back().id = UpstreamId(name);
  return list;
}

FleetReport reportOfAge(Millis storeAge) {
  FleetReport report;
  report.self = {DaemonId("a"), "a:1", 1};
  report.storeAge = storeAge;
  return report;
}

/// Guards against restoring an upstream that left while a failure domain was cut off. When the cut
/// heals, the domain's two daemons that watch the store assume that it recovered from an outage and
/// retain the entry that it lacks. When they passed on their list with retained entries, daemons of
/// other domains, which had already dropped the upstream, sent it requests up to 4.3 s after it had
/// announced that it leaves. Log: `upstreams.held` on the daemons that were cut off, and a second
/// `upstream.gone` for the same upstream on others.
class UpstreamCopyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamCopyTest);
  CPPUNIT_TEST(aDomainThatWasCutOffRestoresNoUpstreamThatLeft);
  CPPUNIT_TEST(entriesThatLapsedInAnOutageAreRetainedByEachDaemon);
  CPPUNIT_TEST(storeRecoveryIsDetectedFromReports);
  CPPUNIT_TEST(onlyANewerListIsApplied);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aDomainThatWasCutOffRestoresNoUpstreamThatLeft() {
    const auto all = listOf({"left", "stays"});
    const auto remaining = listOf({"stays"});
    UpstreamCopy cutOff;
    cutOff.update(all, 10, at(0));
    UpstreamCopy connected;
    connected.update(all, cutOff.version(), at(0));
    UpstreamCopy watcher;
    watcher.update(remaining, 11, at(1'000));
    connected.update(watcher.listed(), watcher.version(), at(1'200));
    CPPUNIT_ASSERT(remaining == connected.upstreams());

    CPPUNIT_ASSERT(cutOff.noteStoreRecovery(at(4'000)));
    cutOff.update(listOf({"stays", "new"}), 12, at(4'100));
    CPPUNIT_ASSERT(listOf({"stays", "new", "left"}) == cutOff.upstreams());
    connected.update(cutOff.listed(), cutOff.version(), at(4'400));
    CPPUNIT_ASSERT(listOf({"stays", "new"}) == connected.upstreams());

    CPPUNIT_ASSERT(cutOff.dropLapsed(at(4'000 + kRetentionMs)));
    CPPUNIT_ASSERT(listOf({"stays", "new"}) == cutOff.upstreams());
  }

  void entriesThatLapsedInAnOutageAreRetainedByEachDaemon() {
    const auto all = listOf({"lives", "stays"});
    UpstreamCopy watcher;
    watcher.update(all, 10, at(0));
    UpstreamCopy peer;
    peer.update(watcher.listed(), watcher.version(), at(200));
    watcher.noteStoreRecovery(at(9'000));
    watcher.update(listOf({"stays"}), 12, at(9'100));
    peer.noteStoreRecovery(at(9'300));
    peer.update(watcher.listed(), watcher.version(), at(9'400));
    const auto retained = listOf({"stays", "lives"});
    CPPUNIT_ASSERT(retained == watcher.upstreams());
    CPPUNIT_ASSERT(retained == peer.upstreams());
    // Of two outages the later one determines the expiry.
    peer.noteStoreRecovery(at(10'000));
    CPPUNIT_ASSERT(!peer.dropLapsed(at(9'300 + kRetentionMs)));
    CPPUNIT_ASSERT(retained == peer.upstreams());
    CPPUNIT_ASSERT(peer.dropLapsed(at(10'000 + kRetentionMs)));
    CPPUNIT_ASSERT(listOf({"stays"}) == peer.upstreams());
    // Entries that re-registered in time don't expire.
    watcher.update(retained, 13, at(10'100));
    CPPUNIT_ASSERT(!watcher.dropLapsed(at(9'000 + kRetentionMs)));
    CPPUNIT_ASSERT(retained == watcher.upstreams());
  }

  /// A daemon that doesn't watch the store detects its recovery from reports if peers reported
  /// before that the store answered none of them. Missing reports indicate nothing about the store.
  void storeRecoveryIsDetectedFromReports() {
    struct Row {
      std::string name;
      bool inContact;
      int firstReportMs;
      Millis firstStoreAge;
      int secondReportMs;
      Millis secondStoreAge;
      bool recovered;
    };
    const std::vector<Row> rows{
        {"peers got no answer", false, 3'000, Millis(2'900), 3'200, Millis(100), true},
        {"peers have just started", false, 3'000, kUnknownAge + Millis(80), 3'200, Millis(100),
         false},
        {"peers pause after starting", false, 3'000, Millis(1'900), 3'200, Millis(100), false},
        {"peers send no reports", false, 100, Millis(50), 3'200, Millis(100), false},
        {"peers report no newer contact", false, 3'000, Millis(2'900), 3'200, Millis(3'100), false},
        {"it watches the store itself", true, 3'000, Millis(2'900), 3'200, Millis(100), false},
        {"their report of it is old", false, 2'000, Millis(1'900), 9'000, Millis(0), false},
    };
    for (const Row& row : rows) {
      StoreFreshness freshness(at(0));
      const StoreState own{1, 1, row.inContact};
      freshness.noteReport(reportOfAge(Millis(0)), own, at(100));
      CPPUNIT_ASSERT_MESSAGE(row.name, !freshness.noteReport(reportOfAge(row.firstStoreAge), own,
                                                             at(row.firstReportMs)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.name, row.recovered,
          freshness.noteReport(reportOfAge(row.secondStoreAge), own, at(row.secondReportMs)));
    }
  }

  void onlyANewerListIsApplied() {
    UpstreamCopy copy;
    CPPUNIT_ASSERT(!copy.noteStoreRecovery(at(0)));
    CPPUNIT_ASSERT(copy.update(listOf({"a"}), 5, at(0)));
    const std::uint64_t version = copy.version();
    CPPUNIT_ASSERT(!copy.update(listOf({"b"}), version, at(0)));
    CPPUNIT_ASSERT(!copy.update(listOf({"b"}), 4, at(0)));
    // A list with the same content isn't an update for peers either.
    CPPUNIT_ASSERT(!copy.update(listOf({"a"}), 6, at(0)));
    CPPUNIT_ASSERT_EQUAL(version, copy.version());
    CPPUNIT_ASSERT(copy.update(listOf({"b"}), 7, at(0)));
    CPPUNIT_ASSERT(copy.version() > version);
    CPPUNIT_ASSERT(listOf({"b"}) == copy.upstreams());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamCopyTest);

}  // namespace
