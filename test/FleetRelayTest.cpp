// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

// Relays stop, restart and are replaced while daemons serve requests. Usage is reported by
// incarnation and counts never decrease, so a count is merged once, whatever its sender and age.
// Guards against two failures:
// - The last report of a restarted relay, the sums of its domain, was recorded as its own earlier
//   usage, and the domain was missing from the totals until its next relay was discovered: a fleet
//   of 240 daemons reported 0.67 of a window's usage.
// - A relay replaced by a higher-ranked daemon stopped reporting to its domain immediately: the
//   domain's daemons received no report for a second and considered themselves relays.

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
constexpr int kReportPeriodMs = 200;
constexpr int kDomains = 3;

Instant at(int ms) {
  return kStart + Millis(ms);
}

UsageByWindow usageOf(std::uint64_t count) {
  return {{kWindow, {{kOrg, count}}}};
}

std::uint64_t countOf(const UsageByWindow& usage) {
  const auto window = usage.find(kWindow);
  if (window == usage.end()) return 0;
  const auto count = window->second.find(kOrg);
  return count == window->second.end() ? 0 : count->second;
}

/// Daemons in three domains; the reports of a period are delivered immediately. The first two of
/// each domain have the most capacity.
class ReportingFleet {
 public:
  explicit ReportingFleet(int daemons) : hosts_(daemons) {
    for (int i = 0; i < daemons; ++i) start(i, 0);
  }

  void start(int i, int ms) {
    Host& host = hosts_[i];
    const std::string domain = "d" + std::to_string(i % kDomains);
    const std::string name = domain + "-" + std::to_string(100 + i);
    const FleetMember member{DaemonId(name), name + ":1", 1'000'000U + ms,
                             FailureDomainName(domain), i < 2 * kDomains ? 500U : 120U};
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
    for (int ms = fromMs; ms < toMs; ms += kReportPeriodMs) runPeriod(ms);
  }

  std::uint64_t served() const { return served_; }
  /// The window's total usage at daemon \p i, including its own.
  std::uint64_t totalAt(int i, int ms) const {
    return countOf(hosts_[i].view->usageElsewhere(at(ms))) + countOf(hosts_[i].own.usage);
  }
  std::size_t relays(int ms) const {
    return std::count_if(hosts_.begin(), hosts_.end(), [&](const Host& host) {
      return host.view != nullptr && !host.own.leaving && host.view->isRelay(at(ms));
    });
  }
  /// Runs the fleet and returns the maximum number of simultaneous relays.
  std::size_t maxRelays(int fromMs, int toMs) {
    std::size_t maximum = 0;
    for (int ms = fromMs; ms < toMs; ms += kReportPeriodMs) {
      runPeriod(ms);
      maximum = std::max(maximum, relays(ms));
    }
    return maximum;
  }

 private:
  struct Host {
    std::unique_ptr<FleetView> view;
    FleetReport own;
  };

  void runPeriod(int ms) {
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
  CPPUNIT_TEST(aCountIsMergedOnceWhoeverReportsIt);
  CPPUNIT_TEST(noUsageIsLostWhenARelayStops);
  CPPUNIT_TEST(aReturningRelayIsElectedWithoutAGap);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aCountIsMergedOnceWhoeverReportsIt() {
    const FleetMember self{DaemonId("self"), "self:1", 1, FailureDomainName("d0")};
    const FleetMember near{DaemonId("near"), "near:1", 5, FailureDomainName("d0")};
    const FleetMember far{DaemonId("far"), "far:1", 5, FailureDomainName("d1")};
    FleetMember restarted = near;
    restarted.incarnation = 6;
    const auto reported = [](const FleetMember& m, std::uint64_t count) {
      return IncarnationUsage{m.daemon, m.incarnation, m.domain, usageOf(count)};
    };
    struct Row {
      const char* label;
      std::function<void(FleetUsage&)> record;
      std::uint64_t expected;
    };
    const std::vector<Row> rows{
        {"its own report", [&](FleetUsage& u) { u.noteSelfReport(near, usageOf(3)); }, 3},
        {"its own report and another daemon's older one",
         [&](FleetUsage& u) {
           u.noteSelfReport(near, usageOf(3));
           u.noteIncarnation(reported(near, 2));
         },
         3},
        {"another daemon's newer report",
         [&](FleetUsage& u) {
           u.noteSelfReport(near, usageOf(3));
           u.noteIncarnation(reported(near, 4));
         },
         4},
        {"two incarnations",
         [&](FleetUsage& u) {
           u.noteIncarnation(reported(near, 3));
           u.noteSelfReport(restarted, usageOf(2));
         },
         5},
        {"its own usage is reported back to it",
         [&](FleetUsage& u) { u.noteIncarnation(reported(self, 9)); }, 0},
        {"an earlier incarnation of itself",
         [&](FleetUsage& u) {
           FleetMember before = self;
           before.incarnation = 0;
           u.noteIncarnation(reported(before, 9));
         },
         9},
        {"a domain's sum and one of its daemons",
         [&](FleetUsage& u) {
           u.noteDomainSums(FailureDomainName("d1"), usageOf(10));
           u.noteIncarnation(reported(far, 4));
         },
         10},
        {"a new relay's sum is lower",
         [&](FleetUsage& u) {
           u.noteDomainSums(FailureDomainName("d1"), usageOf(10));
           u.noteDomainSums(FailureDomainName("d1"), usageOf(1));
         },
         10},
        {"sums of the own domain may include the own count",
         [&](FleetUsage& u) { u.noteDomainSums(FailureDomainName("d0"), usageOf(10)); }, 0},
        {"a fleet's sum includes directly reported usage",
         [&](FleetUsage& u) {
           u.noteSelfReport(near, usageOf(3));
           u.noteFleetSums(usageOf(20));
           u.noteFleetSums(usageOf(2));
         },
         20},
    };
    for (const Row& row : rows) {
      FleetUsage usage(self);
      row.record(usage);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, row.expected, countOf(usage.elsewhere()));
      // Daemons with different clocks may report windows that the receiver has dropped.
      usage.forgetBefore(kWindow + 1);
      usage.forgetBefore(kWindow + 2);
      usage.noteIncarnation(reported(far, 4));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.label, std::uint64_t{0}, countOf(usage.elsewhere()));
    }
  }

  /// Each row stops a relay of domain 0 in a different way, in some rows along with another daemon
  /// of its domain. Afterwards all daemons have the same totals, whichever of them would report.
  void noUsageIsLostWhenARelayStops() {
    struct Row {
      const char* label;
      std::function<void(ReportingFleet&)> stopRelay;
    };
    const std::vector<Row> rows{
        {"the relay is killed", [](ReportingFleet& f) { f.kill(0); }},
        {"the relay is killed with a member",
         [](ReportingFleet& f) {
           f.kill(0);
           f.kill(30);
         }},
        {"the two highest-ranked are killed",
         [](ReportingFleet& f) {
           f.kill(0);
           f.kill(3);
         }},
        {"the relay leaves and continues serving",
         [](ReportingFleet& f) {
           f.leave(0);
           f.run(4'000, 5'000);
           f.serve(0, 50);
           f.run(5'000, 5'400);
           f.kill(0);
         }},
        {"the relay restarts",
         [](ReportingFleet& f) {
           f.kill(0);
           f.start(0, 4'000);
         }},
        {"the relays of all domains restart",
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
      row.stopRelay(fleet);
      fleet.run(5'400, 9'000);
      for (const int i : {1, 2, 6, 7, 33, 59}) {
        const std::string where = std::string(row.label) + ", daemon " + std::to_string(i);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(where, fleet.served(), fleet.totalAt(i, 9'000));
      }
    }
  }

  void aReturningRelayIsElectedWithoutAGap() {
    ReportingFleet fleet(60);
    fleet.run(0, 3'000);
    fleet.kill(0);
    fleet.run(3'000, 8'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kDomains}, fleet.relays(8'000));
    fleet.start(0, 8'000);
    // The returning relay and its replacement may briefly both act as relay, but no other daemon.
    CPPUNIT_ASSERT(fleet.maxRelays(8'000, 12'000) <= kDomains + 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kDomains}, fleet.relays(12'000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRelayTest);

}  // namespace
