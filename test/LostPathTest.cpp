// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Hallchute/Fleet"
#include "Hallchute/Gateway"
#include "SimulatedFleet.h"

namespace {

using namespace Hallchute;

const ServiceName kService("pool");

Instant at(int ms) {
  return SimulatedFleet::at(ms);
}

/// A connection to an upstream, by its number, that came up or not.
struct ConnectResult {
  int ms = 0;
  int upstream = 0;
  bool connected = false;
};

UpstreamTable tableOf(int upstreams, int domains) {
  std::vector<UpstreamRecord> records(static_cast<std::size_t>(upstreams));
  for (int i = 0; i < upstreams; ++i) {
    UpstreamRecord& record = records[static_cast<std::size_t>(i)];
    record.id = UpstreamId("u" + std::to_string(i));
    record.service = kService;
    record.domain = FailureDomainName("d" + std::to_string(i % domains));
  }
  UpstreamTable table;
  table.replace(records, at(0));
  return table;
}

/// Daemons that report to each other, in virtual time; some of them lose their path to a service.
class CutFleet {
 public:
  explicit CutFleet(int daemons) : fleet_(daemons, {}) {
    for (int i = 0; i < daemons; ++i) fleet_.start(i, -60'000);
    run(-3'000, 0);
  }
  void setCut(int daemon, bool cut) {
    if (cut) cut_.insert(daemon);
    if (!cut) cut_.erase(daemon);
  }
  /// A daemon that starts knows of no lost path until it has tried.
  void restart(int daemon, int ms) { fleet_.start(daemon, ms); }
  void run(int fromMs, int toMs) {
    for (int ms = fromMs; ms < toMs; ms += SimulatedFleet::kStepMs) {
      for (int i = 0; i < fleet_.size(); ++i) {
        if (!SimulatedFleet::reportsAt(i, ms)) continue;
        fleet_.view(i).setLostPaths(cut_.contains(i) ? std::vector{kService}
                                                     : std::vector<ServiceName>{});
        fleet_.report(i, FleetReport{}, ms);
      }
      fleet_.deliver(
          ms, [](int) { return true; }, [](int, const FleetReport&) {});
    }
  }
  /// The daemon that passes a request of \p daemon on; -1 if none does.
  int peerOf(int daemon, int request, int ms) {
    const auto peer =
        fleet_.view(daemon).forwardingPeer(kService, std::to_string(request), {}, at(ms));
    return peer ? std::stoi(peer->address.substr(1)) : -1;
  }
  bool isCut(int daemon) const { return cut_.contains(daemon); }

 private:
  SimulatedFleet fleet_;
  std::set<int> cut_;
};

class LostPathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostPathTest);
  CPPUNIT_TEST(losesAndRegainsPathsByTable);
  CPPUNIT_TEST(suspicionProbesOtherDomainsAtMostOnceASecond);
  CPPUNIT_TEST(lostPathsAreProbedInTurn);
  CPPUNIT_TEST(cutDaemonsUseOthersThatReachTheService);
  CPPUNIT_TEST_SUITE_END();

 public:
  void losesAndRegainsPathsByTable() {
    struct Row {
      const char* name;
      int upstreams;
      std::vector<ConnectResult> results;
      bool lost;
    };
    // Upstream n is in domain n modulo 3.
    const std::vector<Row> rows{
        {"one upstream is down", 9, {{0, 1, false}, {100, 1, false}, {200, 1, false}}, false},
        {"two domains", 9, {{0, 1, false}, {100, 2, false}, {200, 4, false}}, false},
        {"two other domains are cut off",
         9,
         {{0, 1, false}, {10, 4, false}, {20, 7, false}, {30, 2, false}, {40, 5, false}},
         false},
        {"three domains", 9, {{0, 1, false}, {100, 2, false}, {200, 3, false}}, true},
        {"three, and one came up between",
         9,
         {{0, 1, false}, {100, 2, false}, {150, 4, true}, {200, 3, false}},
         false},
        {"three, far apart", 9, {{0, 1, false}, {900, 2, false}, {1'800, 3, false}}, false},
        {"both of two", 2, {{0, 0, false}, {100, 1, false}}, true},
        {"the only one", 1, {{0, 0, false}}, true},
        {"all, then one comes up", 2, {{0, 0, false}, {100, 1, false}, {500, 1, true}}, false},
    };
    for (const Row& row : rows) {
      const UpstreamTable table = tableOf(row.upstreams, 3);
      PathMonitor paths;
      for (const ConnectResult& result : row.results) {
        const UpstreamId upstream("u" + std::to_string(result.upstream));
        if (result.connected) paths.noteConnected(kService);
        if (!result.connected) paths.noteConnectFailed(table, *table.find(upstream), at(result.ms));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.lost, paths.lost(kService));
      CPPUNIT_ASSERT(!paths.lost(ServiceName("other")));
    }
  }

  void suspicionProbesOtherDomainsAtMostOnceASecond() {
    const UpstreamTable table = tableOf(9, 3);
    PathMonitor paths;
    const UpstreamEntry& suspect = *table.find(UpstreamId("u0"));
    const std::vector<UpstreamId> probes = paths.probesOnSuspicion(table, suspect, at(0));
    CPPUNIT_ASSERT_EQUAL(PathMonitor::kProbes, probes.size());
    std::set<FailureDomainName> domains;
    for (const UpstreamId& id : probes) domains.insert(table.find(id)->record.domain);
    CPPUNIT_ASSERT(domains.contains(FailureDomainName("d1")));
    CPPUNIT_ASSERT(domains.contains(FailureDomainName("d2")));
    CPPUNIT_ASSERT(paths.probesOnSuspicion(table, suspect, at(900)).empty());
    CPPUNIT_ASSERT(!paths.probesOnSuspicion(table, suspect, at(1'100)).empty());
  }

  void lostPathsAreProbedInTurn() {
    const UpstreamTable table = tableOf(9, 3);
    PathMonitor paths;
    std::set<UpstreamId> probed;
    for (int i = 0; i < 3; ++i) {
      for (const UpstreamId& id : paths.probesOfLostPath(table, kService, at(200 * i)))
        probed.insert(id);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, probed.size());
  }

  /// Daemons that were cut off refused what others could have served. Within the contact time each
  /// finds one that isn't cut off, whoever restarts meanwhile, and the load spreads over many.
  void cutDaemonsUseOthersThatReachTheService() {
    struct Row {
      const char* name;
      int daemons;
      int domains;
      /// Every daemon of domain 1 but so many.
      int spared;
      bool onlyOne;
      bool restart;
    };
    const std::vector<Row> rows{
        {"one of 7", 7, 3, 0, true, false},
        {"a domain of 7", 7, 3, 0, false, false},
        {"a domain of 7, restarted", 7, 3, 0, false, true},
        {"one of 295", 295, 5, 0, true, false},
        {"most of a domain of 295", 295, 5, 3, false, false},
        {"a domain of 295, restarted", 295, 5, 0, false, true},
    };
    constexpr int kCutMs = 1'000;
    constexpr int kRequests = 40;
    for (const Row& row : rows) {
      CutFleet fleet(row.daemons);
      fleet.run(0, kCutMs);
      std::vector<int> cut;
      for (int i = 1; i < row.daemons; i += row.domains) cut.push_back(i);
      cut.resize(row.onlyOne ? 1 : cut.size() - static_cast<std::size_t>(row.spared));
      for (const int daemon : cut) fleet.setCut(daemon, true);
      if (row.restart) fleet.restart(cut.back(), kCutMs + 500);
      const int judgedMs = kCutMs + SimulatedFleet::kContactMs;
      fleet.run(kCutMs, judgedMs);
      std::map<int, int> load;
      for (const int daemon : cut) {
        for (int request = 0; request < kRequests; ++request) {
          const int peer = fleet.peerOf(daemon, request, judgedMs);
          CPPUNIT_ASSERT_MESSAGE(row.name, peer >= 0 && !fleet.isCut(peer));
          ++load[peer];
        }
      }
      const int most = std::max_element(load.begin(), load.end(), [](const auto& a, const auto& b) {
                         return a.second < b.second;
                       })->second;
      // No daemon gets more than all requests of a few others.
      CPPUNIT_ASSERT_MESSAGE(row.name, most <= 5 * kRequests);
      for (const int daemon : cut) fleet.setCut(daemon, false);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostPathTest);

}  // namespace
