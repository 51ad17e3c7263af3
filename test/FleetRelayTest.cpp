// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

// Relays end, start again and are replaced while daemons serve. What a relay summed lives on at
// others: usage is told by incarnation and every count only rises, so that a word counts once
// whoever tells it and however old it is. Before that a window of a fleet of 240 daemons was told
// as 0.67 of what was served while its relays restarted: a relay's last report, the sums of its
// domain, was kept as its own past, and the domain counted for nobody until its next relay was
// known. A relay that a stronger daemon took over from stopped telling its domain at once; its
// daemons heard nobody for a second and took themselves for relays.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Hallchute/Fleet"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
const OrganisationName kOrg("org");
constexpr std::int64_t kWindow = 7;
constexpr int kPeriod = 200;
constexpr int kDomains = 3;

Instant at(int ms) {
  return kStart + Millis(ms);
}

UsageByWindow counted(std::uint64_t count) {
  return {{kWindow, {{kOrg, count}}}};
}

std::uint64_t countOf(const UsageByWindow& usage) {
  const auto window = usage.find(kWindow);
  if (window == usage.end()) return 0;
  const auto count = window->second.find(kOrg);
  return count == window->second.end() ? 0 : count->second;
}

/// Daemons in three domains, each period's reports delivered at once. The first two of each domain
/// have the strongest hosts.
class ReportingFleet {
 public:
  explicit ReportingFleet(int daemons) : hosts_(daemons) {
    for (int i = 0; i < daemons; ++i) start(i, 0);
  }

  void start(int i, int ms) {
    Host& host = hosts_[i];
    const std::string domain = "d" + std::to_string(i % kDomains);
    const std::string name = domain + "-" + std::to_string(100 + i);
    const FleetMember member{DaemonId(name), name + ":1", 1'000'000U + ms, DomainName(domain),
                             i < 2 * kDomains ? 500U : 120U};
    host = Host{std::make_unique<FleetView>(member, at(ms)), {}};
    host.view->addAddresses(std::vector<std::string>{"d0-100:1", "d1-101:1", "d2-102:1"});
    byAddress_[member.address] = i;
  }
  void kill(int i) { hosts_[i].view.reset(); }
  void leave(int i) { hosts_[i].own.leaving = true; }
  void serve(int i, std::uint64_t requests) {
    hosts_[i].own.usage[kWindow][kOrg] += requests;
    served_ += requests;
  }
  void run(int fromMs, int toMs) {
    for (int ms = fromMs; ms < toMs; ms += kPeriod) period(ms);
  }

  std::uint64_t served() const { return served_; }
  /// What daemon \p i would tell of the window, its own part included.
  std::uint64_t countedAt(int i, int ms) const {
    return countOf(hosts_[i].view->usageElsewhere(at(ms))) + countOf(hosts_[i].own.usage);
  }
  std::size_t relays(int ms) const {
    return std::count_if(hosts_.begin(), hosts_.end(), [&](const Host& host) {
      return host.view != nullptr && !host.own.leaving && host.view->isRelay(at(ms));
    });
  }
  /// The most relays at a time from \p fromMs on.
  std::size_t mostRelays(int fromMs, int toMs) {
    std::size_t most = 0;
    for (int ms = fromMs; ms < toMs; ms += kPeriod) {
      period(ms);
      most = std::max(most, relays(ms));
    }
    return most;
  }

 private:
  struct Host {
    std::unique_ptr<FleetView> view;
    FleetReport own;
  };

  void period(int ms) {
    std::vector<AddressedReport> sent;
    for (Host& host : hosts_) {
      if (host.view == nullptr) continue;
      for (AddressedReport& report : host.view->compose(host.own, at(ms))) {
        sent.push_back(std::move(report));
      }
    }
    for (const AddressedReport& report : sent) {
      Host& host = hosts_[byAddress_.at(report.address)];
      if (host.view != nullptr) host.view->receive(report.report, at(ms));
    }
  }

  std::vector<Host> hosts_;
  std::map<std::string, int> byAddress_;
  std::uint64_t served_ = 0;
};

class FleetRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRelayTest);
  CPPUNIT_TEST(aWordCountsOnceWhoeverTellsIt);
  CPPUNIT_TEST(relaysThatEndTakeNoCountsWithThem);
  CPPUNIT_TEST(aRelayThatIsBackIsFoundWithoutAGap);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aWordCountsOnceWhoeverTellsIt() {
    const FleetMember self{DaemonId("self"), "self:1", 1, DomainName("d0")};
    const FleetMember near{DaemonId("near"), "near:1", 5, DomainName("d0")};
    const FleetMember far{DaemonId("far"), "far:1", 5, DomainName("d1")};
    FleetMember again = near;
    again.incarnation = 6;
    const auto word = [](const FleetMember& m, std::uint64_t count) {
      return IncarnationUsage{m.daemon, m.incarnation, m.domain, counted(count)};
    };
    struct Row {
      const char* story;
      std::function<void(FleetUsage&)> told;
      std::uint64_t expected;
    };
    const std::vector<Row> rows{
        {"its own word", [&](FleetUsage& u) { u.noteSelfReport(near, counted(3)); }, 3},
        {"its own word and another's",
         [&](FleetUsage& u) {
           u.noteSelfReport(near, counted(3));
           u.noteIncarnation(word(near, 2));
         },
         3},
        {"another's newer word",
         [&](FleetUsage& u) {
           u.noteSelfReport(near, counted(3));
           u.noteIncarnation(word(near, 4));
         },
         4},
        {"two incarnations",
         [&](FleetUsage& u) {
           u.noteIncarnation(word(near, 3));
           u.noteSelfReport(again, counted(2));
         },
         5},
        {"what it told itself comes back", [&](FleetUsage& u) { u.noteIncarnation(word(self, 9)); },
         0},
        {"an earlier incarnation of its own",
         [&](FleetUsage& u) {
           FleetMember before = self;
           before.incarnation = 0;
           u.noteIncarnation(word(before, 9));
         },
         9},
        {"a domain's sum and one of its daemons",
         [&](FleetUsage& u) {
           u.noteDomainSums(DomainName("d1"), counted(10));
           u.noteIncarnation(word(far, 4));
         },
         10},
        {"a new relay's sum is lower",
         [&](FleetUsage& u) {
           u.noteDomainSums(DomainName("d1"), counted(10));
           u.noteDomainSums(DomainName("d1"), counted(1));
         },
         10},
        {"sums of the own domain may hold the own count",
         [&](FleetUsage& u) { u.noteDomainSums(DomainName("d0"), counted(10)); }, 0},
        {"a fleet's sum holds what was heard directly",
         [&](FleetUsage& u) {
           u.noteSelfReport(near, counted(3));
           u.noteFleetSums(counted(20));
           u.noteFleetSums(counted(2));
         },
         20},
    };
    for (const Row& row : rows) {
      FleetUsage usage(self);
      row.told(usage);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.story, row.expected, countOf(usage.elsewhere()));
      // Daemons whose clocks differ tell each other of windows that one has dropped.
      usage.forgetBefore(kWindow + 1);
      usage.forgetBefore(kWindow + 2);
      usage.noteIncarnation(word(far, 4));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.story, std::uint64_t{0}, countOf(usage.elsewhere()));
    }
  }

  /// Each row ends a relay of domain 0 in another way, together with a member that only it had
  /// heard; every daemon of the fleet counts the same afterwards, whoever would report.
  void relaysThatEndTakeNoCountsWithThem() {
    struct Row {
      const char* story;
      std::function<void(ReportingFleet&)> end;
    };
    const std::vector<Row> rows{
        {"the relay is killed", [](ReportingFleet& f) { f.kill(0); }},
        {"the relay is killed with a member",
         [](ReportingFleet& f) {
           f.kill(0);
           f.kill(30);
         }},
        {"the two strongest are killed",
         [](ReportingFleet& f) {
           f.kill(0);
           f.kill(3);
         }},
        {"the relay leaves and serves on",
         [](ReportingFleet& f) {
           f.leave(0);
           f.run(4'000, 5'000);
           f.serve(0, 50);
           f.run(5'000, 5'400);
           f.kill(0);
         }},
        {"the relay starts again",
         [](ReportingFleet& f) {
           f.kill(0);
           f.start(0, 4'000);
         }},
        {"a relay of each domain starts again",
         [](ReportingFleet& f) {
           for (int i = 0; i < kDomains; ++i) {
             f.kill(i);
             f.start(i, 4'000);
           }
         }},
    };
    constexpr int kDaemons = 60;
    for (const Row& row : rows) {
      ReportingFleet fleet(kDaemons);
      fleet.run(0, 2'400);
      for (int i = 0; i < kDaemons; ++i) fleet.serve(i, 10);
      fleet.run(2'400, 4'000);
      row.end(fleet);
      fleet.run(5'400, 9'000);
      for (const int i : {1, 2, 6, 7, 33, 59}) {
        const std::string where = std::string(row.story) + ", daemon " + std::to_string(i);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(where, fleet.served(), fleet.countedAt(i, 9'000));
      }
    }
  }

  void aRelayThatIsBackIsFoundWithoutAGap() {
    ReportingFleet fleet(60);
    fleet.run(0, 3'000);
    fleet.kill(0);
    fleet.run(3'000, 8'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kDomains}, fleet.relays(8'000));
    fleet.start(0, 8'000);
    // The one that is back and the one in its place may both be it for a moment; no member is.
    CPPUNIT_ASSERT(fleet.mostRelays(8'000, 12'000) <= kDomains + 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kDomains}, fleet.relays(12'000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRelayTest);

}  // namespace
