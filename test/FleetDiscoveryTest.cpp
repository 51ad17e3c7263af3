// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

// Seeds name daemons of three failure domains; the relays of the other domains find each other by
// what those tell. A relay named the daemons of its own domain and, to each receiver, the
// receiver's relay, but no third one: two relays without seeds that missed each other's first
// reports never met. On the large site 62 of 295 daemons then counted for nobody in a domain for
// all of the day (`fleet.heard` with 233 of 295 on all daemons of two domains), and those domains'
// first daemons took the duties from each other (epochs 1 to 7 in 45 s, seven duties missed).

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Hallchute/Fleet"

namespace {

using namespace Hallchute;

constexpr int kPeriod = 200;
constexpr int kDomains = 5;
constexpr int kDaemons = 60;
/// The domains from this one on have no seeds.
constexpr int kFirstWithoutSeeds = 3;

Instant at(int ms) {
  return Instant(std::chrono::hours(1)) + Millis(ms);
}

/// A fleet of five domains; the reports of a period arrive at once.
class SeededFleet {
 public:
  SeededFleet() {
    for (int i = 0; i < kDaemons; ++i) {
      const std::string domain = "d" + std::to_string(i % kDomains);
      const std::string name = domain + "-" + std::to_string(100 + i);
      const FleetMember member{DaemonId(name), name + ":1", 1, DomainName(domain),
                               i < kDomains ? 500U : 120U};
      Host& host = hosts_[member.address];
      host.domain = i % kDomains;
      host.view = std::make_unique<FleetView>(member, at(0));
      host.view->addAddresses(std::vector<std::string>{"d0-100:1", "d1-101:1", "d2-102:1"});
    }
  }

  /// Until \p cutMs nothing passes between the domains without seeds; one of them starts late.
  void run(int toMs, int cutMs, int lateMs) {
    for (int ms = 0; ms <= toMs; ms += kPeriod) {
      std::vector<std::pair<int, AddressedReport>> sent;
      for (const auto& [address, host] : hosts_) {
        if (host.domain == kDomains - 1 && ms < lateMs) continue;
        for (AddressedReport& report : host.view->compose({}, at(ms))) {
          sent.emplace_back(host.domain, std::move(report));
        }
      }
      for (const auto& [from, report] : sent) {
        const Host& to = hosts_.at(report.address);
        const bool late = to.domain == kDomains - 1 && ms < lateMs;
        const bool cut = from != to.domain && from >= kFirstWithoutSeeds &&
                         to.domain >= kFirstWithoutSeeds && ms < cutMs;
        if (!late && !cut) to.view->receive(report.report, at(ms));
      }
    }
  }
  std::size_t leastHeard(int ms) const {
    std::size_t least = kDaemons;
    for (const auto& [address, host] : hosts_) least = std::min(least, host.view->heard(at(ms)));
    return least;
  }

 private:
  struct Host {
    std::unique_ptr<FleetView> view;
    int domain = 0;
  };
  std::map<std::string, Host> hosts_;
};

class FleetDiscoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetDiscoveryTest);
  CPPUNIT_TEST(domainsWithoutSeedsFindEachOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  void domainsWithoutSeedsFindEachOther() {
    struct Row {
      std::string story;
      int cutMs;
      int lateMs;
    };
    const std::vector<Row> rows{{"all start together", 0, 0},
                                {"one domain starts late", 0, 2'000},
                                {"their first reports to each other are lost", 1'600, 0},
                                {"a cut between them heals after a minute", 65'000, 0}};
    for (const Row& row : rows) {
      SeededFleet fleet;
      const int end = row.cutMs + row.lateMs + 4'000;
      fleet.run(end, row.cutMs, row.lateMs);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.story, std::size_t{kDaemons}, fleet.leastHeard(end));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetDiscoveryTest);

}  // namespace
