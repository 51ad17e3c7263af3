// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Hallchute/Gateway"
#include "Hallchute/src/Core/StableHash.h"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
const ServiceName kService("s");
constexpr int kReportPeriodMs = 200;
constexpr int kReportDelayMs = 500;
constexpr int kLookPeriodMs = 25;

Instant at(int ms) {
  return kStart + Millis(ms);
}

/// A kind of request: its rate, prompt, objective and time limit.
struct Kind {
  std::uint32_t rank;
  double perSecond;
  double sharedTokens;
  double ownTokens;
  int objectiveMs;
  int limitMs;
};
const std::vector<Kind> kKinds{{0, 435, 568, 1'800, 500, 3'000},
                               {1, 189, 5'382, 6'610, 800, 15'000}};

/// What became of the requests of a kind that arrived from the start of the burst on.
struct Outcome {
  int requests = 0, served = 0, onTime = 0, heldInVain = 0;
  int large = 0, largeServed = 0, small = 0, smallServed = 0;
  double servedShare() const { return double(served) / requests; }
  double onTimeShare() const { return double(onTime) / requests; }
};

struct Result {
  std::vector<Outcome> kinds{2};
  /// From the end of the burst to the last tenth of a second in which less than 0.9 of the urgent
  /// requests that arrived were on time.
  int recoveryMs = 0;
};

/// Daemons with admission control before engines that process one prompt after the other, the more
/// urgent first, and reject requests beyond a queue. Daemons know the others' loads and waiting
/// counts late. In the burst demand doubles for four seconds, and a third of the engines is gone
/// for seven.
class AdmissionFleet {
 public:
  AdmissionFleet(std::size_t daemons, bool enabled) : enabled_(enabled) {
    for (int e = 0; e < kEngines; ++e) {
      UpstreamRecord record;
      record.id = UpstreamId("e" + std::to_string(e));
      record.service = kService;
      record.domain = FailureDomainName("d" + std::to_string(e % 3));
      record.slots = kSlots;
      records_.push_back(record);
    }
    for (std::size_t d = 0; d < daemons; ++d) {
      daemons_.push_back(std::make_unique<Daemon>());
      daemons_.back()->table.replace(records_, at(0));
    }
  }

  Result run() {
    for (now_ = 0; now_ < kEndMs; ++now_) {
      if (now_ == kBurstMs) setEngines(kEngines * 2 / 3);
      if (now_ == kReturnMs) setEngines(kEngines);
      for (std::size_t e = 0; e < engines_.size(); ++e) advance(e);
      if (now_ % kReportPeriodMs == 0) exchangeReports();
      if (now_ % kLookPeriodMs == 0) reconsider();
      for (; !returning_.empty() && returning_.begin()->first <= now_;
           returning_.erase(returning_.begin()))
        arrive(returning_.begin()->second);
      arriveNew();
    }
    return summary();
  }

 private:
  static constexpr int kEngines = 60, kBurstMs = 5'000, kBurstEndMs = 9'000, kReturnMs = 12'000,
                       kCountedMs = 16'000, kEndMs = 32'000;
  static constexpr std::uint32_t kSlots = 64;
  static constexpr std::size_t kQueueLimit = 198, kCachedPrefixes = 64;
  /// Makes the calm load 0.55 of what all engines process.
  static constexpr double kTokensPerMs = 62;

  struct Daemon {
    UpstreamTable table;
    AdmissionQueue queue{{true, 512, 16U << 20U}};
  };
  struct Request {
    std::size_t kind = 0, daemon = 0, engine = 0;
    int bornMs = 0, arrivedMs = 0, attempts = 0, rejections = 0;
    double own = 0;
    std::string subject;
    bool large = false, small = false;
    bool served = false, heldInVain = false;
    int firstMs = 0;
    int deadlineMs() const { return bornMs + kKinds[kind].limitMs; }
    std::uint64_t tokens() const { return std::uint64_t(own + kKinds[kind].sharedTokens); }
  };
  struct Engine {
    std::deque<std::size_t> queues[2];
    std::optional<std::size_t> running;
    double freeAt = 0, workMs = 0, workTokens = 0;
    std::deque<std::string> cached;
  };

  double draw() { return hashFraction("d", draws_++); }

  void setEngines(int count) {
    for (auto& daemon : daemons_)
      daemon->table.replace({records_.data(), std::size_t(count)}, at(now_));
  }

  void arriveNew() {
    const double factor = now_ >= kBurstMs && now_ < kBurstEndMs ? 2 : 1;
    for (std::size_t k = 0; k < kKinds.size(); ++k) {
      due_[k] += factor * kKinds[k].perSecond / 1'000;
      for (; due_[k] >= 1; due_[k] -= 1) {
        Request request;
        request.kind = k;
        request.bornMs = now_;
        request.large = draw() < 0.1;
        request.own = kKinds[k].ownTokens * (request.large ? 3 : 0.78);
        const double subject = draw();
        request.subject =
            "k" + std::to_string(k) + "-" + std::to_string(int(subject * subject * 900));
        request.small = draw() < 0.03;
        requests_.push_back(request);
        arrive(requests_.size() - 1);
      }
    }
  }

  AdmissionRequest describe(std::size_t r) const {
    const Request& request = requests_[r];
    AdmissionRequest described;
    described.session = r;
    described.criteria.service = kService;
    described.criteria.requestId = "r" + std::to_string(r) + "-" + std::to_string(request.attempts);
    described.criteria.affinity = request.subject;
    described.criteria.sharedTokens = std::uint64_t(kKinds[request.kind].sharedTokens);
    described.organisation = OrganisationName(request.small ? "small" : "flood");
    described.rank = kKinds[request.kind].rank;
    described.overtakes = request.kind == 0;
    described.objective = Millis(kKinds[request.kind].objectiveMs);
    described.urgentObjective = Millis(kKinds[0].objectiveMs);
    described.receivedAt = at(request.arrivedMs);
    described.deadline = at(request.deadlineMs());
    described.promptTokens = request.tokens();
    described.bytes = 4 * request.tokens();
    return described;
  }

  /// Predictions by the tokens that the daemon believes to be ahead, and the engine's mean speed.
  double speed(std::size_t e) const {
    const Engine& engine = engines_[e];
    return engine.workMs < 100 ? kTokensPerMs : engine.workTokens / engine.workMs;
  }
  Millis delayAt(const UpstreamEntry& entry) const {
    const std::size_t e = std::stoul(entry.record.id.str().substr(1));
    return Millis(int(double(entry.pendingPrefillTokens()) / speed(e)));
  }
  AdmissionOutlook outlook(Daemon& daemon) const {
    return {[&](const AdmissionRequest& request) -> std::optional<AdmissionForecast> {
              const auto* entry = pickUpstream(daemon.table, request.criteria, at(now_));
              if (entry == nullptr) return std::nullopt;
              const std::size_t e = std::stoul(entry->record.id.str().substr(1));
              return AdmissionForecast{delayAt(*entry),
                                       Millis(int(double(request.promptTokens) / speed(e)))};
            },
            [&](const ServiceName& service, bool, Millis target) -> std::optional<ServiceRoom> {
              ServiceRoom sum;
              for (const auto& [id, entry] : daemon.table.entries()) {
                if (!UpstreamTable::takesRequests(entry, service)) continue;
                const double tokensPerMs = speed(std::stoul(id.str().substr(1)));
                sum.tokensPerMs += tokensPerMs;
                if (delayAt(entry) >= target) continue;
                sum.openTokensPerMs += tokensPerMs;
                sum.room += double((target - delayAt(entry)).count()) * tokensPerMs;
              }
              return sum;
            }};
  }

  void arrive(std::size_t r) {
    Request& request = requests_[r];
    request.arrivedMs = now_;
    request.daemon = std::size_t(draw() * double(daemons_.size()));
    ++request.attempts;
    Daemon& daemon = *daemons_[request.daemon];
    if (!enabled_) return dispatch(r);
    decided(r, daemon.queue.enter(describe(r), outlook(daemon), at(now_)), 0);
  }

  void decided(std::size_t r, const AdmissionDecision& decision, int waitedMs) {
    if (std::holds_alternative<AdmissionVerdicts::Dispatch>(decision.verdict)) dispatch(r);
    const auto* refusal = std::get_if<AdmissionVerdicts::Refuse>(&decision.verdict);
    if (refusal == nullptr) return;
    if (waitedMs > kKinds[requests_[r].kind].objectiveMs / 8) requests_[r].heldInVain = true;
    comeBack(r, int(refusal->retryAfter.count()));
  }

  /// Callers try once more.
  void comeBack(std::size_t r, int retryAfterMs) {
    if (requests_[r].attempts >= 2) return;
    requests_[r].rejections = 0;
    returning_.emplace(now_ + std::max(1, retryAfterMs), r);
  }

  void reconsider() {
    for (auto& daemon : daemons_) {
      while (!daemon->queue.empty()) {
        const auto releases = daemon->queue.reconsider(outlook(*daemon), at(now_));
        if (releases.empty()) break;
        for (const AdmissionRelease& release : releases)
          decided(release.session, release.decision, int(release.waited.count()));
      }
    }
  }

  void dispatch(std::size_t r) {
    Request& request = requests_[r];
    UpstreamTable& table = daemons_[request.daemon]->table;
    UpstreamCriteria criteria = describe(r).criteria;
    while (true) {
      const UpstreamEntry* entry = pickUpstream(table, criteria, at(now_));
      if (entry == nullptr || ++request.rejections > 3) return comeBack(r, 100);
      const UpstreamId id = entry->record.id;
      criteria.tried.insert(id);
      request.engine = std::stoul(id.str().substr(1));
      table.noteDispatched(id, request.tokens());
      Engine& engine = engines_[request.engine];
      if (engine.queues[0].size() + engine.queues[1].size() < kQueueLimit) {
        engine.queues[request.kind].push_back(r);
        return;
      }
      table.notePromptDone(id, request.tokens());
      table.noteEnded(id, DispatchResult::rejected, at(now_));
    }
  }

  void advance(std::size_t e) {
    Engine& engine = engines_[e];
    while (engine.freeAt <= now_) {
      if (engine.running) finish(*engine.running);
      engine.running.reset();
      auto& queue = engine.queues[0].empty() ? engine.queues[1] : engine.queues[0];
      if (queue.empty()) return;
      const std::size_t r = queue.front();
      queue.pop_front();
      if (now_ >= requests_[r].deadlineMs()) {
        end(r);
        continue;
      }
      start(engine, r);
    }
  }
  void start(Engine& engine, std::size_t r) {
    const Request& request = requests_[r];
    double tokens = request.own;
    const auto cached = std::find(engine.cached.begin(), engine.cached.end(), request.subject);
    if (cached == engine.cached.end()) {
      tokens += kKinds[request.kind].sharedTokens;
    } else {
      engine.cached.erase(cached);
    }
    engine.cached.push_back(request.subject);
    if (engine.cached.size() > kCachedPrefixes) engine.cached.pop_front();
    const double ms = tokens / kTokensPerMs;
    engine.workMs = engine.workMs * 0.99 + ms;
    engine.workTokens = engine.workTokens * 0.99 + double(request.tokens());
    engine.freeAt = std::max<double>(engine.freeAt, now_ - 1) + ms;
    engine.running = r;
  }
  void finish(std::size_t r) {
    Request& request = requests_[r];
    request.served = now_ <= request.deadlineMs();
    request.firstMs = now_ - request.bornMs;
    end(r);
  }
  void end(std::size_t r) {
    const Request& request = requests_[r];
    const UpstreamId id("e" + std::to_string(request.engine));
    UpstreamTable& table = daemons_[request.daemon]->table;
    table.notePromptDone(id, request.tokens());
    table.noteEnded(id, DispatchResult::answered, at(now_));
  }

  void exchangeReports() {
    auto& loads = reportedLoads_[now_];
    auto& waiting = reportedWaiting_[now_];
    for (const auto& daemon : daemons_) {
      loads.push_back(daemon->table.ownLoads());
      waiting.push_back(daemon->queue.loads());
    }
    const auto due = reportedLoads_.upper_bound(now_ - kReportDelayMs);
    if (due == reportedLoads_.begin()) return;
    const int then = std::prev(due)->first;
    UpstreamLoads sum;
    WaitingLoad waitingSum;
    for (const UpstreamLoads& own : reportedLoads_[then])
      for (const auto& [id, load] : own) sum[id] += load;
    for (WaitingLoads& own : reportedWaiting_[then]) waitingSum += own[kService];
    for (std::size_t d = 0; d < daemons_.size(); ++d) {
      UpstreamLoads others = sum;
      for (const auto& [id, load] : reportedLoads_[then][d]) {
        others[id].requests -= load.requests;
        others[id].pendingPrefillTokens -= load.pendingPrefillTokens;
      }
      WaitingLoad othersWaiting = waitingSum;
      othersWaiting -= reportedWaiting_[then][d][kService];
      daemons_[d]->table.setPeerLoads(others, at(now_));
      daemons_[d]->queue.noteReports(
          {{{kService, othersWaiting}}, daemons_.size(), Millis(kReportDelayMs)});
    }
  }

  Result summary() const {
    Result result;
    std::map<int, std::pair<int, int>> urgent;
    for (const Request& request : requests_) {
      const bool onTime = request.served && request.firstMs <= kKinds[request.kind].objectiveMs;
      if (request.kind == 0 && request.bornMs < kCountedMs) {
        auto& [all, good] = urgent[request.bornMs / 100];
        ++all;
        good += onTime;
      }
      if (request.bornMs < kBurstMs || request.bornMs >= kCountedMs) continue;
      Outcome& outcome = result.kinds[request.kind];
      ++outcome.requests;
      outcome.served += request.served;
      outcome.onTime += onTime;
      outcome.heldInVain += request.heldInVain && !request.served;
      outcome.large += request.large;
      outcome.largeServed += request.large && request.served;
      outcome.small += request.small;
      outcome.smallServed += request.small && request.served;
    }
    for (const auto& [tenth, counts] : urgent) {
      if (counts.second < 0.9 * counts.first)
        result.recoveryMs = std::max(0, (tenth + 1) * 100 - kBurstEndMs);
    }
    return result;
  }

  bool enabled_;
  int now_ = 0;
  std::vector<UpstreamRecord> records_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<Engine> engines_{kEngines};
  std::vector<Request> requests_;
  std::multimap<int, std::size_t> returning_;
  std::map<int, std::vector<UpstreamLoads>> reportedLoads_;
  std::map<int, std::vector<WaitingLoads>> reportedWaiting_;
  double due_[2] = {0, 0};
  std::uint64_t draws_ = 1;
};

std::string figures(const Result& result) {
  std::string text;
  for (const Outcome& kind : result.kinds) {
    const auto percent = [](int part, int all) {
      return std::to_string(std::round(1'000.0 * part / all) / 10).substr(0, 5);
    };
    text += "on time " + percent(kind.onTime, kind.requests) + " served " +
            percent(kind.served, kind.requests) + " largest " +
            percent(kind.largeServed, kind.large) + " small organisation " +
            percent(kind.smallServed, kind.small) + " held in vain " +
            percent(kind.heldInVain, kind.requests) + "; ";
  }
  return text + "recovery " + std::to_string(result.recoveryMs) + " ms";
}

/// An outlook with the same delay everywhere.
AdmissionOutlook outlookWith(int delayMs, double room) {
  return {[=](const AdmissionRequest&) -> std::optional<AdmissionForecast> {
            return AdmissionForecast{Millis(delayMs), Millis(50)};
          },
          [=](const ServiceName&, bool, Millis) -> std::optional<ServiceRoom> {
            return ServiceRoom{room, 100, 0};
          }};
}

AdmissionRequest requestOf(std::uint64_t session, std::uint32_t rank, int objectiveMs,
                           const std::string& organisation = "o") {
  AdmissionRequest request;
  request.session = session;
  request.criteria.service = kService;
  request.criteria.requestId = "r" + std::to_string(session);
  request.organisation = OrganisationName(organisation);
  request.rank = rank;
  request.objective = Millis(objectiveMs);
  request.urgentObjective = Millis(std::min(500, objectiveMs));
  request.receivedAt = at(0);
  request.deadline = at(10'000);
  request.promptTokens = 1'000;
  return request;
}

std::string name(const AdmissionVerdict& verdict) {
  const char* const names[] = {"dispatch", "wait", "refuse"};
  return names[verdict.index()];
}

class AdmissionQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionQueueTest);
  CPPUNIT_TEST(decidesByTable);
  CPPUNIT_TEST(releasesInOrderOfUrgencyAndOrganisation);
  CPPUNIT_TEST(boundsKeepRoomForTheUrgentAndForOthers);
  CPPUNIT_TEST(aShareOfTheRoomIsReleasedUntilPeersExpire);
  CPPUNIT_TEST(aBurstLeavesTheUrgentOnTime);
  CPPUNIT_TEST(aBurstIsServedByUrgency);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against refusals and waits without cause, and requests that wait until their end.
  void decidesByTable() {
    struct Row {
      std::string name;
      std::uint32_t rank;
      int objectiveMs, nowMs;
      std::optional<int> delayMs, sinceMs;
      std::string verdict;
    };
    const std::vector<Row> rows{
        {"no estimate", 1, 500, 0, {}, {}, "dispatch"},
        {"short queue", 2, 500, 0, 30, {}, "dispatch"},
        {"urgent within its objective", 0, 500, 0, 440, {}, "dispatch"},
        {"urgent beyond it", 0, 500, 0, 460, {}, "wait"},
        {"less urgent keeps headroom", 1, 500, 0, 440, {}, "wait"},
        {"less urgent with headroom", 1, 500, 0, 370, {}, "dispatch"},
        {"time already used", 0, 500, 200, 260, {}, "wait"},
        {"late, short queue", 0, 500, 2'000, 100, {}, "dispatch"},
        {"late, queue", 0, 500, 2'000, 300, {}, "wait"},
        {"late, waited long", 0, 500, 7'500, 300, 0, "dispatch"},
        {"little time left", 0, 500, 9'500, 300, {}, "dispatch"},
        {"beyond its time limit", 0, 500, 9'500, 600, {}, "refuse"},
    };
    for (const Row& row : rows) {
      std::optional<AdmissionForecast> forecast;
      if (row.delayMs) forecast = AdmissionForecast{Millis(*row.delayMs), Millis(50)};
      std::optional<Instant> since;
      if (row.sinceMs) since = at(*row.sinceMs);
      const AdmissionDecision decision = AdmissionPolicy::decide(
          requestOf(1, row.rank, row.objectiveMs), forecast, at(row.nowMs), since);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.verdict, name(decision.verdict));
      const auto* refusal = std::get_if<AdmissionVerdicts::Refuse>(&decision.verdict);
      if (refusal != nullptr) CPPUNIT_ASSERT(refusal->retryAfter <= decision.timeLeft / 3);
    }
  }

  /// Guards against an organisation or a rank that waits behind a flood of another.
  void releasesInOrderOfUrgencyAndOrganisation() {
    AdmissionQueue queue({true, 100, 1'000'000});
    const AdmissionOutlook busy = outlookWith(700, 0);
    for (std::uint64_t session = 1; session <= 3; ++session)
      queue.enter(requestOf(session, 1, 1'000, "flood"), busy, at(0));
    queue.enter(requestOf(4, 1, 1'000, "small"), busy, at(0));
    queue.enter(requestOf(5, 0, 600), busy, at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, queue.waiting(kService));
    queue.remove(3);
    std::string order;
    while (!queue.empty()) {
      const auto releases = queue.reconsider(outlookWith(100, 1e9), at(10));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, releases.size());
      order += std::to_string(releases.front().session);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("5412"), order);
  }

  /// Guards against a flood that fills the queue, so that the urgent or others are refused.
  void boundsKeepRoomForTheUrgentAndForOthers() {
    AdmissionQueue queue({true, 8, 1'000'000});
    const AdmissionOutlook busy = outlookWith(700, 0);
    std::string verdicts;
    for (std::uint64_t session = 1; session <= 7; ++session)
      verdicts += name(queue.enter(requestOf(session, 1, 1'000), busy, at(0)).verdict)[0];
    verdicts += name(queue.enter(requestOf(8, 0, 600, "other"), busy, at(0)).verdict)[0];
    CPPUNIT_ASSERT_EQUAL(std::string("wwwwwwrw"), verdicts);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, queue.drain().size());
    CPPUNIT_ASSERT(queue.empty() && queue.loads().empty());
  }

  /// Guards against daemons that release the same room together, and against shares that stay
  /// small once the other daemons have fallen silent, or without any report since a restart.
  void aShareOfTheRoomIsReleasedUntilPeersExpire() {
    const auto releasedAfter = [](const FleetWaiting* reported) {
      AdmissionQueue queue({true, 100, 1'000'000});
      for (std::uint64_t session = 1; session <= 10; ++session)
        queue.enter(requestOf(session, 1, 1'000), outlookWith(700, 0), at(0));
      if (reported != nullptr) queue.noteReports(*reported);
      while (!queue.reconsider(outlookWith(100, 10'000), at(10)).empty()) continue;
      return 10 - queue.waiting(kService);
    };
    const FleetWaiting others{{{kService, {40, 40'000}}}, 5, Millis(0)};
    const FleetWaiting silent{{}, 1, Millis(0)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, releasedAfter(&others));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, releasedAfter(&silent));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, releasedAfter(nullptr));
  }

  /// Guards against urgent requests that wait for capacity which less urgent ones took.
  void aBurstLeavesTheUrgentOnTime() {
    std::string failures;
    for (const std::size_t daemons : kDaemons) {
      const double share = replay(daemons, true).kinds[0].onTimeShare();
      if (share < 0.9) failures += std::to_string(daemons) + ": " + std::to_string(share) + "; ";
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  /// Guards against a burst in which everything is late. Of the less urgent that arrive from the
  /// burst's start on, the engines could process 0.66 in time beside the urgent ones: a third of
  /// that must be, with loads that are up to 0.7 s old. The urgent are on time again after that age
  /// and their objective.
  void aBurstIsServedByUrgency() {
    std::string failures;
    for (const std::size_t daemons : kDaemons) {
      const Result& off = replay(daemons, false);
      const Result& on = replay(daemons, true);
      const Outcome& urgent = on.kinds[0];
      const Outcome& other = on.kinds[1];
      const auto check = [&](bool holds, const std::string& what) {
        if (!holds) failures += std::to_string(daemons) + " daemons, " + what + "; ";
      };
      check(other.onTimeShare() >= 0.66 / 3, "others on time");
      check(urgent.servedShare() >= other.servedShare(), "inversion");
      check(other.servedShare() >= 0.98, "others served");
      check(on.recoveryMs <= 700 + 500, "recovery");
      for (const Outcome& kind : on.kinds) {
        check(kind.largeServed >= 0.5 * kind.servedShare() * kind.large, "largest tenth");
        check(kind.smallServed >= 0.9 * kind.servedShare() * kind.small, "small organisation");
        check(kind.heldInVain <= 0.001 * kind.requests, "held in vain");
      }
      std::cout << "\n"
                << daemons << " daemons, off: " << figures(off) << "\n"
                << daemons << " daemons, on: " << figures(on) << std::endl;
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

 private:
  static constexpr std::size_t kDaemons[] = {7, 77, 295};

  /// The result of a replay, run once.
  static const Result& replay(std::size_t daemons, bool enabled) {
    static std::map<std::pair<std::size_t, bool>, Result> results;
    const auto key = std::make_pair(daemons, enabled);
    const auto known = results.find(key);
    if (known != results.end()) return known->second;
    return results[key] = AdmissionFleet(daemons, enabled).run();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);

}  // namespace
