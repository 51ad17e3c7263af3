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
constexpr int kStep = 10;
constexpr int kReportPeriod = 200;
constexpr int kOnTheWay = 60;
constexpr int kDomains = 3;
constexpr int kWindow = 5'000;
/// After a window's end until its count is taken.
constexpr int kSettle = 2'500;

Instant at(int ms) {
  return kStart + Millis(ms);
}

/// Daemons that serve requests, report, and are stopped and started in turn.
class ServingFleet {
 public:
  explicit ServingFleet(int daemons) {
    for (int i = 0; i < daemons; ++i) {
      hosts_.emplace_back();
      start(i, 0);
    }
  }

  /// \param restartEvery ms between two daemons that are stopped.
  void run(int fromMs, int toMs, int restartEvery) {
    for (int ms = fromMs; ms < toMs; ms += kStep) {
      if (ms % restartEvery == 0) stopNext(ms);
      for (std::size_t i = 0; i < hosts_.size(); ++i) turn(i, ms);
      while (!sent_.empty() && sent_.front().ms + kOnTheWay <= ms) {
        deliver(sent_.front(), ms);
        sent_.pop_front();
      }
      if (ms % kWindow == kSettle) taken_[(ms - kSettle) / kWindow - 1] = countedAtFirst(ms);
    }
  }
  /// What the first daemon told of a window, in parts of what was served.
  double toldPart(int window) const {
    return static_cast<double>(taken_.at(window)) / static_cast<double>(served_.at(window));
  }

 private:
  /// How long a daemon is down, and how long it serves on after its word that it leaves.
  static constexpr int kDown = 600;
  static constexpr int kLeaves = 3'000;
  static constexpr std::size_t kStride = 7;
  struct Host {
    std::unique_ptr<FleetView> view;
    UsageByWindow usage;
    int leavesAt = -1;
    int backAt = -1;
  };
  struct Sent {
    int ms = 0;
    std::size_t to = 0;
    FleetReport report;
  };

  void start(std::size_t i, int ms) {
    const std::string domain = "d" + std::to_string(i % kDomains);
    const std::string name = domain + "-" + std::to_string(100 + i);
    const FleetMember member{DaemonId(name), name + ":1", 1'000'000U + ms, DomainName(domain),
                             i < 9 ? 500U : 120U};
    hosts_[i] = Host{std::make_unique<FleetView>(member, at(ms)), {}, -1, -1};
    hosts_[i].view->addAddresses(std::vector<std::string>{"d0-100:1", "d1-101:1", "d2-102:1"});
    byAddress_[member.address] = i;
  }
  void stopNext(int ms) {
    hosts_[next_].leavesAt = ms;
    // Through all of them, relays in between.
    next_ = (next_ + kStride) % hosts_.size();
  }
  void turn(std::size_t i, int ms) {
    Host& host = hosts_[i];
    if (host.leavesAt >= 0 && ms == host.leavesAt + kLeaves) {
      host.view.reset();
      host.backAt = ms + kDown;
      host.leavesAt = -1;
    }
    if (host.view == nullptr && ms >= host.backAt) start(i, ms);
    if (host.view == nullptr) return;
    // A leaving daemon is sent nothing new after a second.
    if (host.leavesAt < 0 || ms < host.leavesAt + 1'000) serve(host, ms);
    if ((ms + kStep * static_cast<int>(i % 4)) % kReportPeriod == 0) report(host, ms);
  }
  void serve(Host& host, int ms) {
    ++host.usage[ms / kWindow][kOrganisation];
    ++served_[ms / kWindow];
  }
  void report(Host& host, int ms) {
    FleetReport own;
    own.usage = host.usage;
    own.leaving = host.leavesAt >= 0;
    for (AddressedReport& report : host.view->compose(own, at(ms))) {
      sent_.push_back({ms, byAddress_.at(report.address), std::move(report.report)});
    }
  }
  void deliver(const Sent& sent, int ms) {
    Host& host = hosts_[sent.to];
    if (host.view != nullptr) host.view->receive(sent.report, at(ms));
  }
  /// At the first daemon by name that has served for a while.
  std::uint64_t countedAtFirst(int ms) const {
    const std::int64_t window = (ms - kSettle) / kWindow - 1;
    for (const Host& host : hosts_) {
      if (host.view == nullptr || host.leavesAt >= 0 || !host.usage.contains(window)) continue;
      UsageByWindow all = host.view->usageElsewhere(at(ms));
      addUsage(all, host.usage);
      return all[window][kOrganisation];
    }
    return 0;
  }

  std::vector<Host> hosts_;
  std::map<std::string, std::size_t> byAddress_;
  std::deque<Sent> sent_;
  std::map<int, std::uint64_t> served_;
  std::map<int, std::uint64_t> taken_;
  std::size_t next_ = 5;
};

class FleetUsageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetUsageTest);
  CPPUNIT_TEST(daemonsThatAreRestartedInTurnLoseNoUsage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void daemonsThatAreRestartedInTurnLoseNoUsage() {
    std::string misses;
    for (const int daemons : {40, 120, 240}) {
      ServingFleet fleet(daemons);
      fleet.run(0, 40'000, 40'000 / daemons / kStep * kStep);
      for (int window = 1; window < 7; ++window) {
        const double part = fleet.toldPart(window);
        if (part >= 0.95 && part <= 1.05) continue;
        misses += std::to_string(daemons) + " daemons, window " + std::to_string(window) + ": " +
                  std::to_string(part) + "; ";
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), misses);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetUsageTest);

}  // namespace
