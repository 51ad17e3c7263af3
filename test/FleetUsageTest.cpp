// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Hallchute/Fleet"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
const OrganisationName kOrganisation("org");
constexpr int kStepMs = 10;
constexpr int kReportPeriodMs = 200;
constexpr int kReportDelayMs = 60;
constexpr int kDomains = 3;
constexpr int kWindowMs = 5'000;
/// Time from a window's end until its usage is totalled.
constexpr int kSettleMs = 2'500;

Instant at(int ms) {
  return kStart + Millis(ms);
}

/// Daemons that serve requests, report usage, and are restarted one after the other.
class ServingFleet {
 public:
  explicit ServingFleet(int daemons) {
    for (int i = 0; i < daemons; ++i) {
      hosts_.emplace_back();
      start(i, 0);
    }
  }

  /// \param restartIntervalMs time between the stops of two daemons.
  void run(int fromMs, int toMs, int restartIntervalMs) {
    for (int ms = fromMs; ms < toMs; ms += kStepMs) {
      if (ms % restartIntervalMs == 0) stopNext(ms);
      for (std::size_t i = 0; i < hosts_.size(); ++i) step(i, ms);
      while (!inFlight_.empty() && inFlight_.front().ms + kReportDelayMs <= ms) {
        deliver(inFlight_.front(), ms);
        inFlight_.pop_front();
      }
      if (ms % kWindowMs == kSettleMs) totals_[(ms - kSettleMs) / kWindowMs - 1] = totalAtFirst(ms);
    }
  }
  /// Usage of a window as totalled by the first daemon, as a fraction of the requests served.
  double countedFraction(int window) const {
    return static_cast<double>(totals_.at(window)) / static_cast<double>(served_.at(window));
  }

 private:
  /// Downtime of a daemon, and the time it continues to run after reporting that it leaves.
  static constexpr int kDowntimeMs = 600;
  static constexpr int kLeaveDurationMs = 3'000;
  static constexpr std::size_t kStride = 7;
  struct Host {
    std::unique_ptr<FleetView> view;
    UsageByWindow usage;
    int leaveMs = -1;
    int restartMs = -1;
  };
  struct SentReport {
    int ms = 0;
    std::size_t to = 0;
    FleetReport report;
  };

  void start(std::size_t i, int ms) {
    const std::string domain = "d" + std::to_string(i % kDomains);
    const std::string name = domain + "-" + std::to_string(100 + i);
    const FleetMember member{DaemonId(name), name + ":1", 1'000'000U + ms,
                             FailureDomainName(domain), i < 9 ? 500U : 120U};
    hosts_[i] = Host{std::make_unique<FleetView>(member, at(ms)), {}, -1, -1};
    hosts_[i].view->addAddresses(std::vector<std::string>{"d0-100:1", "d1-101:1", "d2-102:1"});
    byAddress_[member.address] = i;
  }
  void stopNext(int ms) {
    hosts_[nextToStop_].leaveMs = ms;
    // The stride visits all daemons, with relays in between.
    nextToStop_ = (nextToStop_ + kStride) % hosts_.size();
  }
  void step(std::size_t i, int ms) {
    Host& host = hosts_[i];
    if (host.leaveMs >= 0 && ms == host.leaveMs + kLeaveDurationMs) {
      host.view.reset();
      host.restartMs = ms + kDowntimeMs;
      host.leaveMs = -1;
    }
    if (host.view == nullptr && ms >= host.restartMs) start(i, ms);
    if (host.view == nullptr) return;
    // A leaving daemon receives no new requests after a second.
    if (host.leaveMs < 0 || ms < host.leaveMs + 1'000) serve(host, ms);
    if ((ms + kStepMs * static_cast<int>(i % 4)) % kReportPeriodMs == 0) report(host, ms);
  }
  void serve(Host& host, int ms) {
    ++host.usage[ms / kWindowMs][kOrganisation];
    ++served_[ms / kWindowMs];
  }
  void report(Host& host, int ms) {
    FleetReport own;
    own.usage = host.usage;
    own.leaving = host.leaveMs >= 0;
    for (AddressedReport& report : host.view->compose(own, at(ms))) {
      inFlight_.push_back({ms, byAddress_.at(report.address), std::move(report.report)});
    }
  }
  void deliver(const SentReport& sent, int ms) {
    Host& host = hosts_[sent.to];
    if (host.view != nullptr) host.view->receive(sent.report, at(ms));
  }
  /// Total at the first daemon that isn't leaving and served requests in the window.
  std::uint64_t totalAtFirst(int ms) const {
    const std::int64_t window = (ms - kSettleMs) / kWindowMs - 1;
    for (const Host& host : hosts_) {
      if (host.view == nullptr || host.leaveMs >= 0 || !host.usage.contains(window)) continue;
      UsageByWindow total = host.view->usageElsewhere(at(ms));
      addUsage(total, host.usage);
      return total[window][kOrganisation];
    }
    return 0;
  }

  std::vector<Host> hosts_;
  std::map<std::string, std::size_t> byAddress_;
  std::deque<SentReport> inFlight_;
  std::map<int, std::uint64_t> served_;
  std::map<int, std::uint64_t> totals_;
  std::size_t nextToStop_ = 5;
};

class FleetUsageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetUsageTest);
  CPPUNIT_TEST(aRollingRestartLosesNoUsage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aRollingRestartLosesNoUsage() {
    std::string failures;
    for (const int daemons : {40, 120, 240}) {
      ServingFleet fleet(daemons);
      fleet.run(0, 40'000, 40'000 / daemons / kStepMs * kStepMs);
      for (int window = 1; window < 7; ++window) {
        const double fraction = fleet.countedFraction(window);
        if (fraction >= 0.95 && fraction <= 1.05) continue;
        failures += std::to_string(daemons) + " daemons, window " + std::to_string(window) + ": " +
                    std::to_string(fraction) + "; ";
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetUsageTest);

}  // namespace
