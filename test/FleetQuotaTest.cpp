// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "Hallchute/Fleet"
#include "Hallchute/Gateway"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
constexpr int kStep = 10;
constexpr int kReportPeriod = 200;
/// A report waits for its sender's and its receiver's processor, a tenth of a second on slow hosts.
constexpr int kOnTheWay = 60;
/// What a request counts, and the quota: as on a fleet of 77 with sixteen organisations.
constexpr double kAmount = 4'000;
constexpr double kRate = 385'000;
constexpr int kWindow = 8'000;

constexpr std::uint64_t kFirstLife = 1'000'000;
const QuotaTolerance kTolerance{0.1, 72'000, Millis(kWindow)};

Instant at(int ms) {
  return kStart + Millis(ms);
}

/// Daemons in three domains that spend one organisation's quota and tell each other.
class SpendingFleet {
 public:
  explicit SpendingFleet(double rate = kRate, int daemons = 77) : daemons_(daemons) {
    organisation_.name = OrganisationName("org");
    organisation_.rate = rate;
    organisation_.burst = rate;
    start(0);
  }

  /// Every daemon's process starts, or starts again.
  void start(int ms) {
    hosts_.clear();
    sent_.clear();
    for (int i = 0; i < daemons_; ++i) {
      const std::string name = "d" + std::to_string(i % 3) + "-" + std::to_string(100 + i);
      const FleetMember member{DaemonId(name), name + ":1", kFirstLife + ms,
                               DomainName("d" + std::to_string(i % 3)), i < 6 ? 500U : 120U};
      hosts_.push_back(std::make_unique<Host>(member, at(ms)));
      byAddress_[member.address] = i;
      hosts_.back()->ledger.setOrganisations(std::vector{organisation_}, at(ms));
    }
    const std::vector<std::string> seeds{"d0-100:1", "d1-101:1", "d2-102:1"};
    const std::span met(seeds.data(), std::min<std::size_t>(seeds.size(), hosts_.size()));
    for (const auto& host : hosts_) host->view.addAddresses(met);
  }
  /// Every daemon's process starts again, and reads in the store how many there were.
  void startKnowingItsSize(int ms) {
    start(ms);
    for (const auto& host : hosts_) {
      host->view.noteEarlierSize(hosts_.size());
      host->ledger.setFleet(host->view.quotaFleet(at(ms)), at(ms));
    }
  }

  /// Whether \p from reaches \p to at a moment.
  std::function<bool(int from, int to, int ms)> reaches = [](int, int, int) { return true; };

  /// \param demand what callers ask for, in parts of the rate.
  void run(int fromMs, int toMs, double demand) {
    for (int ms = fromMs; ms < toMs; ms += kStep) {
      ask(ms, demand);
      for (int i = 0; i < daemons_; ++i) {
        // Daemons started together: they report at about the same moments.
        if ((ms + 10 * (i % 4)) % kReportPeriod == 0) report(i, ms);
      }
      while (!sent_.empty() && sent_.front().ms + kOnTheWay <= ms) {
        deliver(sent_.front(), ms);
        sent_.pop_front();
      }
    }
  }
  /// The most that was admitted in a window, in parts of the rate.
  double worstWindow(int fromMs) const {
    double worst = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto& [ms, amount] : admitted_) {
      sum += amount;
      while (admitted_[first].first <= ms - kWindow) sum -= admitted_[first++].second;
      if (ms - kWindow >= fromMs) worst = std::max(worst, sum);
    }
    return worst / organisation_.rate;
  }
  double admittedIn(int fromMs, int toMs) const {
    double sum = 0;
    for (const auto& [ms, amount] : admitted_) sum += ms >= fromMs && ms < toMs ? amount : 0;
    return sum / organisation_.rate;
  }

 private:
  struct Host {
    Host(FleetMember member, Instant started)
        : view(std::move(member), started), ledger(started, kTolerance) {
      ledger.setFleet(view.quotaFleet(started), started);
    }
    FleetView view;
    QuotaLedger ledger;
  };
  struct Sent {
    int ms = 0;
    int from = 0;
    int to = 0;
    FleetReport report;
  };

  void ask(int ms, double demand) {
    owed_ += demand * organisation_.rate * kStep / 1'000;
    while (owed_ >= kAmount) {
      owed_ -= kAmount;
      attempt(ms, true);
    }
    while (!returning_.empty() && returning_.begin()->first <= ms) {
      returning_.erase(returning_.begin());
      attempt(ms, false);
    }
  }
  /// \param first callers that are refused come back once, when they are told to.
  void attempt(int ms, bool first) {
    next_ = next_ * 1'103'515'245U + 12'345U;
    const auto i = static_cast<std::size_t>(next_ >> 16U) % hosts_.size();
    const double draw = static_cast<double>(next_ >> 8U) / (1U << 24U);
    const auto wait = hosts_[i]->ledger.take(organisation_, kAmount, at(ms), draw);
    if (!wait) {
      admitted_.emplace_back(ms, kAmount);
    } else if (first) {
      returning_.emplace(ms + static_cast<int>(wait->retryDelay.count()), 0);
    }
  }
  void report(int i, int ms) {
    Host& host = *hosts_[i];
    const Instant now = at(ms);
    FleetReport own;
    own.spent = host.ledger.spent();
    for (AddressedReport& report : host.view.compose(own, now)) {
      const int to = byAddress_.at(report.address);
      if (reaches(i, to, ms)) sent_.push_back({ms, i, to, std::move(report.report)});
    }
    host.ledger.setFleet(host.view.quotaFleet(now), now);
  }
  void deliver(const Sent& sent, int ms) {
    Host& host = *hosts_[sent.to];
    const FleetUpdate news = host.view.receive(sent.report, at(ms));
    for (const auto& [name, amount] : news.newlySpent) {
      host.ledger.noteSpentElsewhere(name, amount, at(ms));
    }
  }

  int daemons_;
  GatewayOrganisation organisation_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::map<std::string, int> byAddress_;
  std::deque<Sent> sent_;
  std::vector<std::pair<int, double>> admitted_;
  std::multimap<int, int> returning_;
  double owed_ = 0;
  std::uint32_t next_ = 7;
};

class FleetQuotaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetQuotaTest);
  CPPUNIT_TEST(aWholeFleetKeepsTheQuota);
  CPPUNIT_TEST(aFleetInPartsKeepsTheQuota);
  CPPUNIT_TEST(whatComesBackIntoReachIsNotSpentAnew);
  CPPUNIT_TEST(aSmallOrganisationIsServed);
  CPPUNIT_TEST(aFleetThatRestartsKeepsTheQuota);
  CPPUNIT_TEST(aFleetThatKnowsItsSizeServesAtOnce);
  CPPUNIT_TEST(aFleetThatKnowsItsSizeKeepsTheQuota);
  CPPUNIT_TEST_SUITE_END();

  /// Rate over the window, burst, a tenth, and the fixed tolerance of 72,000 tokens.
  const double allowed_ = 9 * (1 + kTolerance.fraction) + kTolerance.slack / kRate;

  /// All daemons end twice within a window while callers ask for two and a half times the quota.
  static void restartTwice(SpendingFleet& fleet, void (SpendingFleet::*startAll)(int ms)) {
    fleet.run(0, 12'000, 0.5);
    fleet.run(12'000, 13'000, 2.5);
    for (const int ms : {13'000, 17'000}) {
      (fleet.*startAll)(ms);
      fleet.run(ms, ms + 4'000, 2.5);
    }
    fleet.run(21'000, 30'000, 2.5);
  }

 public:
  void aWholeFleetKeepsTheQuota() {
    SpendingFleet fleet;
    fleet.run(0, 14'000, 0.5);
    fleet.run(14'000, 30'000, 3.3);
    const double worst = fleet.worstWindow(6'000);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(worst), worst <= allowed_);
    // Nobody is refused while the fleet asks for half of it.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.admittedIn(6'000, 14'000)),
                           fleet.admittedIn(6'000, 14'000) >= 0.99 * 0.5 * 8);
    // And what it allows is given.
    const double given = fleet.admittedIn(20'000, 30'000);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(given), given >= 9);
  }

  /// Its burst is a few requests, and the fixed tolerance many times that.
  void aSmallOrganisationIsServed() {
    SpendingFleet fleet(18'000);
    fleet.run(0, 60'000, 0.5);
    const double given = fleet.admittedIn(10'000, 60'000);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(given), given >= 0.97 * 0.5 * 50);
  }

  void aFleetThatRestartsKeepsTheQuota() {
    SpendingFleet fleet;
    restartTwice(fleet, &SpendingFleet::start);
    const double worst = fleet.worstWindow(6'000);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(worst), worst <= allowed_);
    const double given = fleet.admittedIn(22'000, 30'000);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(given), given >= 7);
  }

  /// Seven daemons end together; callers ask for what they usually do.
  void aFleetThatKnowsItsSizeServesAtOnce() {
    SpendingFleet fleet(kRate, 7);
    fleet.run(0, 12'000, 0.55);
    fleet.startKnowingItsSize(13'500);
    fleet.run(13'500, 18'000, 0.55);
    const double given = fleet.admittedIn(13'500, 14'700);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(given), given >= 0.97 * 0.55 * 1.2);
  }

  /// In fleets of several sizes, without a pause between their end and start.
  void aFleetThatKnowsItsSizeKeepsTheQuota() {
    for (const int daemons : {1, 2, 3, 5, 7, 9, 12, 13, 20, 40, 77}) {
      SpendingFleet fleet(kRate, daemons);
      restartTwice(fleet, &SpendingFleet::startKnowingItsSize);
      const double worst = fleet.worstWindow(6'000);
      const std::string told = std::to_string(daemons) + ": " + std::to_string(worst);
      CPPUNIT_ASSERT_MESSAGE(told, worst <= allowed_);
    }
  }

  /// A third of the daemons can't reach the others, but each other; then all meet again.
  void aFleetInPartsKeepsTheQuota() {
    SpendingFleet fleet;
    fleet.reaches = [](int from, int to, int ms) {
      const bool apart = ms >= 15'000 && ms < 27'000;
      return !apart || (from % 20 < 7) == (to % 20 < 7);
    };
    fleet.run(0, 18'000, 0.5);
    fleet.run(18'000, 40'000, 3.3);
    const double worst = fleet.worstWindow(6'000);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(worst), worst <= allowed_);
    const double given = fleet.admittedIn(30'000, 40'000);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(given), given >= 8.5);
  }

  /// Callers ask for half of the quota all the time. Daemons fall silent and are heard again: what
  /// they spent before that must not be taken off the buckets once more.
  void whatComesBackIntoReachIsNotSpentAnew() {
    struct Row {
      std::string name;
      std::function<bool(int daemon)> apart;
      int ms;
    };
    const std::vector<Row> rows{
        {"a domain that is cut off", [](int daemon) { return daemon % 3 == 2; }, 5'000},
        {"a relay that is cut off", [](int daemon) { return daemon == 2; }, 5'000},
        {"a relay that is silent for a moment", [](int daemon) { return daemon == 2; }, 1'600},
        {"all relays but one", [](int daemon) { return daemon == 1 || daemon == 2; }, 3'000},
        {"a third of all", [](int daemon) { return daemon % 20 < 7; }, 5'000},
    };
    constexpr int kCut = 20'000;
    constexpr double kDemand = 0.5;
    for (const Row& row : rows) {
      SpendingFleet fleet;
      const int healed = kCut + row.ms;
      fleet.reaches = [&](int from, int to, int ms) {
        return ms < kCut || ms >= healed || row.apart(from) == row.apart(to);
      };
      fleet.run(0, healed + 6'000, kDemand);
      const double given = fleet.admittedIn(healed, healed + 6'000);
      CPPUNIT_ASSERT_MESSAGE(row.name + ": " + std::to_string(given), given >= 0.95 * kDemand * 6);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetQuotaTest);

}  // namespace
