// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Hallchute/Fleet"
#include "Hallchute/Gateway"
#include "SimulatedFleet.h"

namespace {

using namespace Hallchute;

constexpr int kStepMs = SimulatedFleet::kStepMs;
constexpr int kLeadMs = 3'000;
constexpr int kWindowMs = 10'000;
/// Until a caller's request has been read, and until a retry has reached its upstream.
constexpr int kMaxReadDelayMs = 200;
constexpr int kMaxArrivalDelayMs = 400;
/// Daemons that all others know from the start.
constexpr int kSeeds = 3;
/// Failed requests that a daemon has at most in a step.
constexpr int kFailuresInStep = 20;

Instant at(int ms) {
  return SimulatedFleet::at(ms);
}

std::size_t stepOf(int ms) {
  return static_cast<std::size_t>((ms + kLeadMs) / kStepMs);
}

/// What happens to a fleet. Times in ms from the start of traffic.
struct RetryDay {
  int daemons = 7;
  int lengthMs = 45'000;
  double slack = 52;
  /// Of the whole fleet, at its usual rate.
  double requestsPerSecond = 100;
  SimulatedFleet::Partition partition{};
  /// Daemons by the times when they start again, and the times when others join.
  std::multimap<int, int> starts;
  std::map<int, int> joins;
  struct Phase {
    int fromMs = 0;
    double rate = 1;
    bool failing = false;
    /// Only this fraction of the daemons gets requests.
    double served = 1;
  };
  std::vector<Phase> phases;

  const Phase& phaseAt(int ms) const {
    const auto next = std::find_if(phases.begin() + 1, phases.end(),
                                   [&](const Phase& phase) { return phase.fromMs > ms; });
    return *std::prev(next);
  }
};

/// What may happen on a day.
struct Disturbances {
  bool restarts = false;
  bool joins = false;
  bool cuts = false;
  bool bursts = false;
};

/// Draws days: restarts of one daemon or all, joins, a cut, bursts, and always failures.
class RetryDayGenerator {
 public:
  RetryDayGenerator(int daemons, int lengthMs, unsigned seed) : random_(seed) {
    day_.daemons = daemons;
    day_.lengthMs = lengthMs;
    day_.slack = 2.0 * daemons + below(40);
    day_.requestsPerSecond = daemons * (1 + below(25));
  }
  RetryDay draw(const Disturbances& disturbances) {
    if (disturbances.restarts) drawRestarts();
    if (disturbances.joins) drawJoins();
    if (disturbances.cuts) {
      const int from = below(day_.lengthMs);
      day_.partition = {1 + below(day_.daemons - 1), from, from + below(day_.lengthMs)};
    }
    drawPhases(disturbances.bursts);
    return day_;
  }

 private:
  int below(std::size_t bound) { return static_cast<int>(random_() % bound); }
  void drawRestarts() {
    const bool all = below(2) == 0;
    const int period = kStepMs * (20 + below(1'000));
    for (int ms = period; ms < day_.lengthMs; ms += all ? period : kStepMs + below(period)) {
      for (int daemon = 0; daemon < day_.daemons; ++daemon) {
        if (all || below(3) == 0) day_.starts.emplace(ms / kStepMs * kStepMs, daemon);
      }
    }
  }
  void drawJoins() {
    for (int daemon = kSeeds; daemon < day_.daemons; ++daemon) {
      if (below(3) == 0) day_.joins[daemon] = kStepMs * below(day_.lengthMs / kStepMs);
    }
  }
  void drawPhases(bool bursts) {
    constexpr std::array kRates{0.1, 0.5, 1.0, 1.0, 2.0, 4.0};
    for (int ms = -kLeadMs; ms < day_.lengthMs; ms += 500 + below(14'000)) {
      const double rate = bursts ? kRates.at(static_cast<std::size_t>(below(kRates.size()))) : 1;
      day_.phases.push_back({ms, rate, below(3) > 0, bursts && below(3) == 0 ? 0.3 : 1});
    }
  }

  std::mt19937 random_;
  RetryDay day_;
};

/// Daemons that retry whenever their budget allows it, in virtual time.
class RetryingFleet {
 public:
  RetryingFleet(const RetryDay& day, unsigned seed)
      : day_(day), random_(seed), fleet_(day.daemons, day.partition) {
    const std::size_t steps = stepOf(day_.lengthMs + 2 * kWindowMs) + 1;
    requests_.resize(steps);
    arrivals_.resize(steps);
    daemons_.resize(static_cast<std::size_t>(day_.daemons));
    for (int i = 0; i < day_.daemons; ++i) {
      if (!day_.joins.contains(i)) start(i, -kLeadMs);
    }
    for (const auto& [daemon, ms] : day_.joins) day_.starts.emplace(ms, daemon);
  }

  void run() {
    for (int ms = -kLeadMs; ms < day_.lengthMs; ms += kStepMs) {
      const auto [first, last] = day_.starts.equal_range(ms);
      for (auto it = first; it != last; ++it) {
        const auto join = day_.joins.find(it->second);
        if (join == day_.joins.end() || join->second <= ms) start(it->second, ms);
      }
      for (int i = 0; i < day_.daemons; ++i) {
        if (daemons_[index(i)] != nullptr && SimulatedFleet::reportsAt(i, ms)) report(i, ms);
      }
      fleet_.deliver(
          ms, [&](int to) { return daemons_[index(to)] != nullptr; },
          [](int, const FleetReport&) {});
      sendRequests(ms);
      if (day_.phaseAt(ms).failing) retry(ms);
    }
  }

  /// The most retries that arrive in a window beyond what the rule allows in it, over all windows.
  double worstExcess() const {
    const std::vector<int> requests = sums(requests_);
    const std::vector<int> arrivals = sums(arrivals_);
    const std::size_t window = kWindowMs / kStepMs;
    const auto in = [&](const std::vector<int>& sum, std::size_t from, std::size_t to) {
      return sum[std::min(to, sum.size() - 1)] - sum[from];
    };
    double worst = -day_.slack;
    for (std::size_t from = 0; from + window < arrivals.size(); ++from) {
      const std::size_t before = from - std::min(from, window);
      const std::size_t half = from - std::min(from, window / 2);
      const int counted = std::max({in(requests, from, from + window), in(requests, before, from),
                                    in(requests, half, from + window / 2)});
      const double allowed = allowance().ratio * counted + day_.slack;
      worst = std::max(worst, in(arrivals, from, from + window) - allowed);
    }
    return worst;
  }
  /// Retries that arrive from a time on, in ms, until another.
  int arrivalsBetween(int from, int to) const {
    int count = 0;
    for (std::size_t i = stepOf(from); i < stepOf(to); ++i) count += arrivals_[i];
    return count;
  }

 private:
  struct Daemon {
    RetryWindow window;
    RetrySlack slack;
  };

  static std::size_t index(int daemon) { return static_cast<std::size_t>(daemon); }
  static std::vector<int> sums(const std::vector<int>& counts) {
    std::vector<int> sums{0};
    for (const int count : counts) sums.push_back(sums.back() + count);
    return sums;
  }
  RetryAllowance allowance() const { return {0.2, day_.slack, Millis(kWindowMs)}; }
  int below(int bound) { return static_cast<int>(random_() % static_cast<unsigned>(bound)); }

  void start(int i, int ms) {
    fleet_.start(i, ms);
    daemons_[index(i)] = std::make_unique<Daemon>();
  }
  void report(int i, int ms) {
    fleet_.report(i, FleetReport{}, ms);
    daemons_[index(i)]->slack.setSharers(fleet_.view(i).retrySharers(at(ms)), at(ms));
  }
  void sendRequests(int ms) {
    const RetryDay::Phase& phase = day_.phaseAt(ms);
    due_ += day_.requestsPerSecond * phase.rate * kStepMs / 1'000;
    const int served = std::max(1, static_cast<int>(phase.served * day_.daemons));
    for (; due_ >= 1; due_ -= 1) {
      ++requests_[stepOf(std::max(-kLeadMs, ms - below(kMaxReadDelayMs)))];
      Daemon* daemon = daemons_[index(below(served))].get();
      if (daemon != nullptr) daemon->window.noteRequest(allowance(), at(ms));
    }
  }
  void retry(int ms) {
    for (int i = 0; i < day_.daemons; ++i) {
      Daemon* daemon = daemons_[index(i)].get();
      for (int n = 0; daemon != nullptr && n < kFailuresInStep; ++n) {
        if (!daemon->window.takeRetry(allowance(), daemon->slack, at(ms))) break;
        ++arrivals_[stepOf(ms + below(kMaxArrivalDelayMs))];
      }
    }
  }

  RetryDay day_;
  std::mt19937 random_;
  SimulatedFleet fleet_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  /// By step, when callers sent them, and when they reached an upstream.
  std::vector<int> requests_;
  std::vector<int> arrivals_;
  double due_ = 0;
};

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(retriesStayWithinTheBudgetWhateverHappens);
  CPPUNIT_TEST(theBudgetIsSpentWhereRequestsFail);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Restarts of one daemon or all, again and again, joins, cuts and bursts in any order.
  void retriesStayWithinTheBudgetWhateverHappens() {
    struct Row {
      const char* name;
      Disturbances disturbances;
      int daemons;
      int lengthMs;
      unsigned seeds;
    };
    const std::vector<Row> rows{
        {"only failures", {}, 7, 45'000, 10},
        {"restarts", {true, false, false, false}, 7, 45'000, 20},
        {"joins", {false, true, false, false}, 7, 45'000, 20},
        {"cuts", {false, false, true, false}, 7, 45'000, 20},
        {"bursts", {false, false, false, true}, 7, 45'000, 20},
        {"everything", {true, true, true, true}, 7, 45'000, 100},
        {"everything, 295 daemons", {true, true, true, true}, 295, 16'000, 2},
    };
    std::string failures;
    for (const Row& row : rows) {
      unsigned failed = 0;
      double worst = 0;
      for (unsigned seed = 1; seed <= row.seeds; ++seed) {
        RetryDayGenerator generator(row.daemons, row.lengthMs, seed);
        RetryingFleet fleet(generator.draw(row.disturbances), seed);
        fleet.run();
        if (fleet.worstExcess() > 0) ++failed;
        worst = std::max(worst, fleet.worstExcess());
      }
      if (failed == 0) continue;
      failures += std::string(row.name) + ": " + std::to_string(failed) + " of " +
                  std::to_string(row.seeds) + " seeds, at most " + std::to_string(worst) +
                  " too many; ";
    }
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
  }

  /// All requests fail from some time on, at a constant rate: what part of a window's budget is
  /// spent at once, in a window, and in one that begins with a restart of all daemons.
  void theBudgetIsSpentWhereRequestsFail() {
    constexpr int kFailingMs = 25'000;
    constexpr int kAtOnceMs = 1'000;
    RetryDay day;
    day.lengthMs = kFailingMs + kWindowMs;
    day.phases = {{-kLeadMs, 1, false, 1}, {kFailingMs, 1, true, 1}};
    const double budget = 0.2 * day.requestsPerSecond * kWindowMs / 1'000 + day.slack;
    const auto spent = [&](int forMs) {
      RetryingFleet fleet(day, 1);
      fleet.run();
      return fleet.arrivalsBetween(kFailingMs, kFailingMs + forMs) / budget;
    };
    const double atOnce = spent(kAtOnceMs);
    const double inWindow = spent(kWindowMs);
    for (int i = 0; i < day.daemons; ++i) day.starts.emplace(kFailingMs, i);
    const double afterRestart = spent(kWindowMs);
    const std::string shares = std::to_string(atOnce) + " at once, " + std::to_string(inWindow) +
                               " in a window, " + std::to_string(afterRestart) +
                               " after a restart of all";
    CPPUNIT_ASSERT_MESSAGE(shares, atOnce >= 0.35 && inWindow >= 0.7 && afterRestart >= 0.3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

}  // namespace
