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

constexpr int kOver = static_cast<int>(LapsedUpstreams::kReregistrationTime.count());

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

/// A failure domain is cut off for some seconds, and an upstream leaves meanwhile. When the cut
/// heals, the two daemons there that watch the store find it answering again, take it for back from
/// an outage and hold the entry that it lacks. Their list, the newest revision, held entry and all,
/// went to daemons of other domains, which had dropped that upstream seconds before: requests
/// reached it up to 4.3 s after it had said that it leaves. In the log: `upstreams.held` on the
/// daemons that had been cut off, and a second `upstream.gone` for the same upstream on others.
class UpstreamCopyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamCopyTest);
  CPPUNIT_TEST(anUpstreamThatLeftIsNotBroughtBackByADomainThatWasCutOff);
  CPPUNIT_TEST(entriesThatLapsedInAnOutageAreHeldByEachDaemon);
  CPPUNIT_TEST(whoFindsTheStoreBack);
  CPPUNIT_TEST(onlyANewerListIsTaken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void anUpstreamThatLeftIsNotBroughtBackByADomainThatWasCutOff() {
    const auto all = listOf({"left", "stays"});
    const auto rest = listOf({"stays"});
    UpstreamCopy cutOff;
    cutOff.update(all, 10, at(0));
    UpstreamCopy inContact;
    inContact.update(all, cutOff.version(), at(0));
    UpstreamCopy watches;
    watches.update(rest, 11, at(1'000));
    inContact.update(watches.listed(), watches.version(), at(1'200));
    CPPUNIT_ASSERT(rest == inContact.upstreams());

    CPPUNIT_ASSERT(cutOff.noteStoreRecovery(at(4'000)));
    cutOff.update(listOf({"stays", "new"}), 12, at(4'100));
    CPPUNIT_ASSERT(listOf({"stays", "new", "left"}) == cutOff.upstreams());
    inContact.update(cutOff.listed(), cutOff.version(), at(4'400));
    CPPUNIT_ASSERT(listOf({"stays", "new"}) == inContact.upstreams());

    CPPUNIT_ASSERT(cutOff.dropLapsed(at(4'000 + kOver)));
    CPPUNIT_ASSERT(listOf({"stays", "new"}) == cutOff.upstreams());
  }

  void entriesThatLapsedInAnOutageAreHeldByEachDaemon() {
    const auto all = listOf({"lives", "stays"});
    UpstreamCopy watches;
    watches.update(all, 10, at(0));
    UpstreamCopy told;
    told.update(watches.listed(), watches.version(), at(200));
    watches.noteStoreRecovery(at(9'000));
    watches.update(listOf({"stays"}), 12, at(9'100));
    told.noteStoreRecovery(at(9'300));
    told.update(watches.listed(), watches.version(), at(9'400));
    const auto held = listOf({"stays", "lives"});
    CPPUNIT_ASSERT(held == watches.upstreams());
    CPPUNIT_ASSERT(held == told.upstreams());
    // Of two outages the later one decides.
    told.noteStoreRecovery(at(10'000));
    CPPUNIT_ASSERT(!told.dropLapsed(at(9'300 + kOver)));
    CPPUNIT_ASSERT(held == told.upstreams());
    CPPUNIT_ASSERT(told.dropLapsed(at(10'000 + kOver)));
    CPPUNIT_ASSERT(listOf({"stays"}) == told.upstreams());
    // Entries that came back in time are simply there.
    watches.update(held, 13, at(10'100));
    CPPUNIT_ASSERT(!watches.dropLapsed(at(9'000 + kOver)));
    CPPUNIT_ASSERT(held == watches.upstreams());
  }

  /// A daemon that doesn't watch the store finds it back by the reports: before, its peers said
  /// that none of them was answered. Silence of the peers says nothing of the store.
  void whoFindsTheStoreBack() {
    struct Row {
      std::string name;
      bool inContact;
      int toldAt;
      Millis toldAge;
      int backAt;
      Millis backAge;
      bool back;
    };
    const std::vector<Row> rows{
        {"peers were not answered", false, 3'000, Millis(2'900), 3'200, Millis(100), true},
        {"peers have just started", false, 3'000, kUnknownAge + Millis(80), 3'200, Millis(100),
         false},
        {"peers pause after their start", false, 3'000, Millis(1'900), 3'200, Millis(100), false},
        {"peers are silent", false, 100, Millis(50), 3'200, Millis(100), false},
        {"peers say no more than before", false, 3'000, Millis(2'900), 3'200, Millis(3'100), false},
        {"it watches the store itself", true, 3'000, Millis(2'900), 3'200, Millis(100), false},
        {"their word of it is long past", false, 2'000, Millis(1'900), 9'000, Millis(0), false},
    };
    for (const Row& row : rows) {
      StoreFreshness news(at(0));
      const StoreState own{1, 1, row.inContact};
      news.noteReport(reportOfAge(Millis(0)), own, at(100));
      CPPUNIT_ASSERT_MESSAGE(row.name,
                             !news.noteReport(reportOfAge(row.toldAge), own, at(row.toldAt)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.back,
                                   news.noteReport(reportOfAge(row.backAge), own, at(row.backAt)));
    }
  }

  void onlyANewerListIsTaken() {
    UpstreamCopy copy;
    CPPUNIT_ASSERT(!copy.noteStoreRecovery(at(0)));
    CPPUNIT_ASSERT(copy.update(listOf({"a"}), 5, at(0)));
    const std::uint64_t version = copy.version();
    CPPUNIT_ASSERT(!copy.update(listOf({"b"}), version, at(0)));
    CPPUNIT_ASSERT(!copy.update(listOf({"b"}), 4, at(0)));
    // One that says the same is no news for peers either.
    CPPUNIT_ASSERT(!copy.update(listOf({"a"}), 6, at(0)));
    CPPUNIT_ASSERT_EQUAL(version, copy.version());
    CPPUNIT_ASSERT(copy.update(listOf({"b"}), 7, at(0)));
    CPPUNIT_ASSERT(copy.version() > version);
    CPPUNIT_ASSERT(listOf({"b"}) == copy.upstreams());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamCopyTest);

}  // namespace
