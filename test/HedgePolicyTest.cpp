// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Hallchute/Gateway"

namespace {

using namespace Hallchute;

const std::string kRoute = "r";
constexpr double kPercent = 5;
constexpr double kQuantile95 = 0.95;
constexpr double kQuantile99 = 0.99;

Instant at(int ms) {
  return Instant(std::chrono::hours(1)) + Millis(ms);
}

/// What a replay sends, and what its upstreams do.
struct HedgeLoad {
  std::size_t daemons = 7;
  double percent = 0;
  double requestsPerSecond = 900;
  int lengthMs = 40'000;
};

struct HedgeResult {
  std::vector<int> latenciesMs;
  std::size_t requests = 0;
  std::size_t dispatches = 0;
  std::size_t hedges = 0;
  int lastHedgeMs = 0;

  int latencyMs(double quantile) const {
    std::vector<int> sorted = latenciesMs;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1))];
  }
};

/// Daemons that send repeatable requests to upstreams in virtual time, by steps of a millisecond:
/// 15% of the answers take 2.5 times as long, and one upstream is five times as slow.
class HedgingFleet {
 public:
  explicit HedgingFleet(const HedgeLoad& load) : load_(load) {
    std::vector<UpstreamRecord> records(kUpstreams);
    for (std::size_t u = 0; u < kUpstreams; ++u) {
      records[u].id = UpstreamId("u" + std::to_string(u));
      records[u].service = ServiceName("s");
      records[u].slots = kSlots;
    }
    for (std::size_t d = 0; d < load.daemons; ++d) {
      daemons_.push_back(std::make_unique<Daemon>(load.percent));
      daemons_.back()->table.replace(records, at(0));
      daemons_.back()->slack.setSharers(load.daemons, at(0));
    }
  }

  HedgeResult run() {
    double due = 0;
    for (int now = 0; now < load_.lengthMs; ++now) {
      for (std::size_t u = 0; u < kUpstreams; ++u) work(u, now);
      if (now % kReportPeriodMs == 0) exchangeReports(now);
      hedgeDue(now);
      due += load_.requestsPerSecond / 1'000;
      const auto starting = static_cast<int>(due);
      due -= starting;
      for (int i = 0; i < starting; ++i) begin(now);
    }
    return result_;
  }

 private:
  static constexpr std::size_t kUpstreams = 12;
  static constexpr std::uint32_t kSlots = 6;
  /// Answers before that come from daemons that have measured too few requests.
  static constexpr int kMeasuredFromMs = 20'000;
  static constexpr int kReportPeriodMs = 200;
  static constexpr int kWorkMs = 30;
  static constexpr Millis kObjective{120};

  struct Daemon {
    explicit Daemon(double percent) : policy({percent, Millis(20)}) {}
    UpstreamTable table;
    HedgePolicy policy;
    RetryWindow retries;
    RetrySlack slack;
  };
  struct Request {
    std::size_t daemon = 0;
    int begun = 0;
    std::vector<std::size_t> upstreams{};
    bool answered = false;
  };
  struct Job {
    std::size_t request = 0;
    int leftMs = 0;
  };

  const UpstreamEntry* pick(std::size_t number) {
    const Request& request = requests_[number];
    UpstreamCriteria criteria;
    criteria.service = ServiceName("s");
    criteria.requestId = "q" + std::to_string(number);
    for (const std::size_t u : request.upstreams) criteria.tried.insert(idOf(u));
    return pickUpstream(daemons_[request.daemon]->table, criteria, at(request.begun));
  }
  static UpstreamId idOf(std::size_t u) { return UpstreamId("u" + std::to_string(u)); }

  void begin(int now) {
    const std::size_t number = requests_.size();
    requests_.push_back({random_() % load_.daemons, now});
    Daemon& daemon = *daemons_[requests_.back().daemon];
    daemon.policy.noteRequest(kRoute, at(now));
    daemon.retries.noteRequest(kAllowance, at(now));
    send(number, *pick(number));
    const std::optional<Millis> delay = daemon.policy.delay(kRoute, at(now));
    if (delay) due_[now + static_cast<int>(delay->count())].push_back(number);
    ++result_.requests;
  }
  void send(std::size_t number, const UpstreamEntry& entry) {
    const std::size_t u = std::stoul(entry.record.id.str().substr(1));
    const bool slow = std::uniform_real_distribution<>(0, 1)(random_) < 0.15;
    const double factor = (slow ? 2.5 : 1) * (u == 0 ? 5 : 1);
    requests_[number].upstreams.push_back(u);
    jobs_[u].push_back({number, static_cast<int>(kWorkMs * factor)});
    daemons_[requests_[number].daemon]->table.noteDispatched(idOf(u));
    ++result_.dispatches;
  }
  void hedgeDue(int now) {
    const auto found = due_.find(now);
    if (found == due_.end()) return;
    for (const std::size_t number : found->second) {
      if (!requests_[number].answered) hedge(number, now);
    }
    due_.erase(found);
  }
  void hedge(std::size_t number, int now) {
    Daemon& daemon = *daemons_[requests_[number].daemon];
    const UpstreamEntry* second = pick(number);
    if (second == nullptr) return;
    HedgeConditions conditions;
    conditions.hasUpstream = true;
    conditions.objective = kObjective;
    // The mean work of an answer, times those ahead of this one at each slot.
    conditions.predictedFirstEvent =
        Millis(static_cast<int>(kWorkMs * 1.225 * (second->load() + 1) / kSlots));
    if (daemon.policy.decide(kRoute, conditions, at(now)) != HedgeVerdict::hedge) return;
    if (!daemon.retries.takeHedge(kAllowance, daemon.slack, at(now))) return;
    daemon.policy.noteHedge(kRoute, at(now));
    send(number, *second);
    ++result_.hedges;
    result_.lastHedgeMs = now;
  }
  void work(std::size_t u, int now) {
    std::vector<std::size_t> answered;
    const std::size_t running = std::min<std::size_t>(kSlots, jobs_[u].size());
    for (std::size_t i = 0; i < running; ++i) {
      if (--jobs_[u][i].leftMs <= 0) answered.push_back(jobs_[u][i].request);
    }
    for (const std::size_t number : answered) answer(number, now);
  }
  void answer(std::size_t number, int now) {
    Request& request = requests_[number];
    if (request.answered) return;
    request.answered = true;
    Daemon& daemon = *daemons_[request.daemon];
    for (const std::size_t u : request.upstreams) {
      std::erase_if(jobs_[u], [&](const Job& job) { return job.request == number; });
      daemon.table.noteEnded(idOf(u), DispatchResult::abandoned, at(now));
    }
    daemon.policy.noteFirstData(kRoute, Millis(now - request.begun), at(now));
    if (request.begun >= kMeasuredFromMs) result_.latenciesMs.push_back(now - request.begun);
  }
  void exchangeReports(int now) {
    UpstreamLoads sum;
    for (const auto& daemon : daemons_) {
      for (const auto& [id, load] : daemon->table.ownLoads()) sum[id] += load;
    }
    for (const auto& daemon : daemons_) {
      UpstreamLoads others = sum;
      for (const auto& [id, load] : daemon->table.ownLoads()) others[id].requests -= load.requests;
      daemon->table.setPeerLoads(others, at(now));
    }
  }

  static inline const RetryAllowance kAllowance{0.2, 52, Millis(10'000)};

  HedgeLoad load_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<Request> requests_;
  std::vector<std::deque<Job>> jobs_ = std::vector<std::deque<Job>>(kUpstreams);
  std::map<int, std::vector<std::size_t>> due_;
  std::mt19937 random_{42};
  HedgeResult result_;
};

class HedgePolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HedgePolicyTest);
  CPPUNIT_TEST(conditionsByTable);
  CPPUNIT_TEST(theDelayFollowsTheMeasuredQuantile);
  CPPUNIT_TEST(hedgesStayWithinThePercentage);
  CPPUNIT_TEST(hedgesLeaveHalfOfTheBudgetToRetries);
  CPPUNIT_TEST(hedgingShortensTheTailWithinItsBound);
  CPPUNIT_TEST(anOverloadedServiceIsNotHedged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void conditionsByTable() {
    struct Row {
      HedgeConditions conditions;
      HedgeVerdict verdict;
    };
    const Millis objective(500);
    const std::vector<Row> rows{
        {{true, false, false, Millis(0), objective}, HedgeVerdict::hedge},
        {{true, false, false, Millis(500), objective}, HedgeVerdict::hedge},
        {{true, false, false, Millis(501), objective}, HedgeVerdict::overloaded},
        {{true, false, true, Millis(0), objective}, HedgeVerdict::requestsWait},
        {{true, true, false, Millis(0), objective}, HedgeVerdict::needsSlot},
        {{false, false, false, Millis(0), objective}, HedgeVerdict::noUpstream},
    };
    for (const Row& row : rows) {
      HedgePolicy policy({kPercent, Millis(50)});
      CPPUNIT_ASSERT(policy.decide(kRoute, row.conditions, at(0)) != HedgeVerdict::hedge);
      for (int i = 0; i < 20; ++i) policy.noteRequest(kRoute, at(0));
      const HedgeVerdict verdict = policy.decide(kRoute, row.conditions, at(0));
      CPPUNIT_ASSERT_EQUAL(describe(row.verdict), describe(verdict));
    }
  }

  /// Guards against a delay from a few requests, from long ago, or below the operator's floor.
  void theDelayFollowsTheMeasuredQuantile() {
    HedgePolicy policy({kPercent, Millis(50)});
    for (int i = 0; i < 19; ++i) policy.noteFirstData(kRoute, Millis(10), at(0));
    CPPUNIT_ASSERT(!policy.delay(kRoute, at(0)));
    policy.noteFirstData(kRoute, Millis(10), at(0));
    CPPUNIT_ASSERT(Millis(50) == policy.delay(kRoute, at(0)));
    for (int i = 0; i < 400; ++i) policy.noteFirstData(kRoute, Millis(200 + i), at(100));
    const Millis slow = policy.delay(kRoute, at(100)).value();
    CPPUNIT_ASSERT(slow >= Millis(578) && slow <= Millis(654));
    for (int i = 0; i < 400; ++i) policy.noteFirstData(kRoute, Millis(100), at(600'000));
    CPPUNIT_ASSERT(policy.delay(kRoute, at(600'000)).value() <= Millis(113));
    CPPUNIT_ASSERT(!policy.delay(kRoute, at(1'200'000)));
    CPPUNIT_ASSERT(!HedgePolicy(HedgeLimits{}).delay(kRoute, at(0)));
  }

  void hedgesStayWithinThePercentage() {
    HedgePolicy policy({kPercent, Millis(50)});
    const HedgeConditions fine{true, false, false, Millis(0), Millis(500)};
    std::mt19937 random(7);
    std::size_t requests = 0;
    std::size_t hedges = 0;
    // Bursts and pauses, in which every request asks for a hedge.
    for (int now = 0; now < 300'000; now += static_cast<int>(random() % 2'000)) {
      const std::size_t burst = random() % 40;
      for (std::size_t i = 0; i < burst; ++i) policy.noteRequest(kRoute, at(now));
      requests += burst;
      for (std::size_t i = 0; i < burst; ++i) {
        if (policy.decide(kRoute, fine, at(now)) != HedgeVerdict::hedge) continue;
        policy.noteHedge(kRoute, at(now));
        ++hedges;
        CPPUNIT_ASSERT(static_cast<double>(policy.hedgeCount(kRoute, at(now))) * 100 <=
                       kPercent * static_cast<double>(policy.requestCount(kRoute, at(now))));
      }
    }
    CPPUNIT_ASSERT(hedges > 0 &&
                   static_cast<double>(hedges) * 100 <= kPercent * static_cast<double>(requests));
  }

  void hedgesLeaveHalfOfTheBudgetToRetries() {
    const RetryAllowance allowance{0.2, 0, Millis(10'000)};
    const auto taken = [&](bool hedgesFirst) {
      RetryWindow window;
      std::size_t hedges = 0;
      std::size_t retries = 0;
      for (int i = 0; i < 1'000; ++i) window.noteRequest(allowance, at(i));
      for (int i = 0; i < 200 && hedgesFirst; ++i)
        if (window.takeHedge(allowance, {}, at(2'000))) ++hedges;
      for (int i = 0; i < 200; ++i)
        if (window.takeRetry(allowance, {}, at(2'000))) ++retries;
      CPPUNIT_ASSERT(!window.takeHedge(allowance, {}, at(2'000)));
      return std::pair(hedges, retries);
    };
    // A daemon may spend half of the 200 at once.
    CPPUNIT_ASSERT(taken(false) == std::pair(std::size_t{0}, std::size_t{100}));
    CPPUNIT_ASSERT(taken(true) == std::pair(std::size_t{50}, std::size_t{50}));
  }

  void hedgingShortensTheTailWithinItsBound() {
    for (const std::size_t daemons : {7, 77, 295}) {
      const HedgeResult off = HedgingFleet({daemons, 0}).run();
      const HedgeResult on = HedgingFleet({daemons, kPercent}).run();
      CPPUNIT_ASSERT_EQUAL(off.requests, off.dispatches);
      CPPUNIT_ASSERT(on.hedges > 0);
      CPPUNIT_ASSERT(static_cast<double>(on.dispatches) <=
                     static_cast<double>(on.requests) * (1 + kPercent / 100));
      CPPUNIT_ASSERT(on.latencyMs(kQuantile99) <= off.latencyMs(kQuantile99));
    }
  }

  /// Guards against hedges that add to the work of upstreams that can't do theirs.
  void anOverloadedServiceIsNotHedged() {
    // Almost three times what the upstreams answer.
    constexpr double kOverload = 5'000;
    // After a second, each upstream has work for ten times the objective.
    constexpr int kOverloadedFromMs = 1'000;
    for (const std::size_t daemons : {7, 77, 295}) {
      const HedgeResult result = HedgingFleet({daemons, kPercent, kOverload, 6'000}).run();
      CPPUNIT_ASSERT(result.lastHedgeMs < kOverloadedFromMs);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgePolicyTest);

}  // namespace
