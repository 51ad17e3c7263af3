// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "Hallchute/Gateway"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
constexpr int kReportPeriod = 200;
/// How long a daemon's word takes to the others in a fleet with relays.
constexpr int kNewsLag = 500;
constexpr std::uint32_t kSlots = 6;
/// Requests that wait at an upstream beyond those that it works on; it rejects more.
constexpr std::size_t kQueue = 24;

Instant at(int ms) {
  return kStart + Millis(ms);
}

/// Draws that are the same in each run.
class Draws {
 public:
  double next() {
    state_ = state_ * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
    return static_cast<double>(state_ >> 11U) / static_cast<double>(1ULL << 53U);
  }
  std::size_t below(std::size_t bound) {
    return static_cast<std::size_t>(next() * static_cast<double>(bound));
  }

 private:
  std::uint64_t state_ = 42;
};

/// Daemons with what each believes of the upstreams.
class Daemons {
 public:
  void start(std::size_t daemons, std::span<const UpstreamRecord> records) {
    for (std::size_t i = 0; i < daemons; ++i) {
      tables_.push_back(std::make_unique<UpstreamTable>());
      tables_.back()->replace(records, at(0));
    }
  }
  std::size_t size() const { return tables_.size(); }
  UpstreamTable& table(std::size_t daemon) { return *tables_[daemon]; }
  /// Every daemon hears the others' loads of a moment ago; its own it knows.
  void exchangeReports(int now) {
    std::vector<UpstreamLoads>& told = told_[now];
    for (const auto& table : tables_) told.push_back(table->ownLoads());
    const auto then = told_.upper_bound(now - kNewsLag);
    if (then == told_.begin()) return;
    const std::vector<UpstreamLoads>& heard = std::prev(then)->second;
    UpstreamLoads sum;
    for (const UpstreamLoads& loads : heard) {
      for (const auto& [id, load] : loads) sum[id] += load;
    }
    for (std::size_t i = 0; i < tables_.size(); ++i) {
      UpstreamLoads others = sum;
      for (const auto& [id, load] : heard[i]) {
        others[id].requests -= load.requests;
        others[id].pendingPrefillTokens -= load.pendingPrefillTokens;
      }
      tables_[i]->setPeerLoads(others);
    }
  }

 private:
  std::vector<std::unique_ptr<UpstreamTable>> tables_;
  std::map<int, std::vector<UpstreamLoads>> told_;
};

/// What a run of a plain service's fleet came to.
struct PlainOutcome {
  int asked = 0;
  int rejected = 0;
  std::vector<int> waitedMs;

  double rejectedPart() const { return static_cast<double>(rejected) / asked; }
  int waited(double part) const {
    std::vector<int> sorted = waitedMs;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
  }
};

/// Daemons that place the requests of a plain service by what they last heard of each other.
class PlainFleet {
 public:
  /// \param speeds of the upstreams; each is in a domain of its own.
  PlainFleet(std::size_t daemons, std::vector<double> speeds) : speeds_(std::move(speeds)) {
    std::vector<UpstreamRecord> records;
    for (std::size_t u = 0; u < speeds_.size(); ++u) {
      UpstreamRecord record;
      record.id = UpstreamId("u" + std::to_string(u));
      record.service = ServiceName("s");
      record.domain = DomainName("d" + std::to_string(u));
      record.slots = kSlots;
      records.push_back(record);
    }
    upstreams_.resize(records.size());
    daemons_.start(daemons, records);
  }

  PlainOutcome run(int ms, double perSecond, double workMs) {
    for (int now = 0; now < ms; ++now) {
      endWork(now);
      if (now % kReportPeriod == 0) daemons_.exchangeReports(now);
      owed_ += perSecond / 1'000;
      for (; owed_ >= 1; owed_ -= 1) place(now, workMs);
    }
    return outcome_;
  }

 private:
  struct Request {
    std::size_t daemon = 0;
    std::size_t upstream = 0;
    int arrived = 0;
    double work = 0;
  };
  struct Upstream {
    std::size_t busy = 0;
    std::deque<Request> waiting;
  };

  void place(int now, double workMs) {
    ++outcome_.asked;
    UpstreamCriteria wish;
    wish.service = ServiceName("s");
    wish.requestId = "r" + std::to_string(outcome_.asked);
    const std::size_t daemon = draws_.below(daemons_.size());
    wish.ownDomain = DomainName("d" + std::to_string(daemon % speeds_.size()));
    const UpstreamEntry* picked = pickUpstream(daemons_.table(daemon), wish, at(now));
    CPPUNIT_ASSERT(picked != nullptr);
    const std::size_t u = std::stoul(picked->record.id.str().substr(1));
    daemons_.table(daemon).noteDispatched(picked->record.id);
    const double work = workMs * (0.5 + draws_.next()) / speeds_[u];
    Upstream& upstream = upstreams_[u];
    const Request request{daemon, u, now, work};
    if (upstream.busy < kSlots) {
      begin(request, now);
    } else if (upstream.waiting.size() < kQueue) {
      upstream.waiting.push_back(request);
    } else {
      ++outcome_.rejected;
      daemons_.table(daemon).noteEnded(picked->record.id, DispatchResult::rejected, at(now));
    }
  }
  void begin(const Request& request, int now) {
    ++upstreams_[request.upstream].busy;
    outcome_.waitedMs.push_back(now - request.arrived);
    ends_.emplace(now + static_cast<int>(request.work) + 1, request);
  }
  void endWork(int now) {
    while (!ends_.empty() && ends_.begin()->first <= now) {
      const Request request = ends_.begin()->second;
      ends_.erase(ends_.begin());
      const UpstreamId id("u" + std::to_string(request.upstream));
      daemons_.table(request.daemon).noteEnded(id, DispatchResult::answered, at(now));
      Upstream& upstream = upstreams_[request.upstream];
      --upstream.busy;
      if (upstream.waiting.empty()) continue;
      const Request next = upstream.waiting.front();
      upstream.waiting.pop_front();
      begin(next, now);
    }
  }

  std::vector<double> speeds_;
  std::vector<Upstream> upstreams_;
  Daemons daemons_;
  std::multimap<int, Request> ends_;
  PlainOutcome outcome_;
  Draws draws_;
  double owed_ = 0;
};

/// What a run of a model service's fleet came to.
struct ModelOutcome {
  int asked = 0;
  double tokensRead = 0;
  double sharedReadAgain = 0;
  std::vector<int> firstMs;

  int first(double part) const {
    std::vector<int> sorted = firstMs;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
  }
  double readAgainPart() const { return sharedReadAgain / tokensRead; }
};

/// Daemons that place prompts by what they last heard of each other, before engines that read one
/// prompt after the other and keep the shared parts of the last few subjects.
class ModelFleet {
 public:
  ModelFleet(std::size_t daemons, std::size_t engines) : engines_(engines) {
    std::vector<UpstreamRecord> records;
    for (std::size_t e = 0; e < engines; ++e) {
      UpstreamRecord record;
      record.id = UpstreamId("e" + std::to_string(e));
      record.service = ServiceName("s");
      record.domain = DomainName("d" + std::to_string(e % 5));
      record.slots = 48;
      records.push_back(record);
    }
    daemons_.start(daemons, records);
  }

  /// \param load of the engines together with nothing kept, by the time in ms.
  template <typename Load>
  ModelOutcome run(int ms, Load load) {
    const double perMs = kTokensPerMs * static_cast<double>(engines_.size()) / (kShared + kOwn);
    for (int now = 0; now < ms; ++now) {
      endReading(now);
      if (now % kReportPeriod == 0) daemons_.exchangeReports(now);
      owed_ += load(now) * perMs;
      for (; owed_ >= 1; owed_ -= 1) place(now);
    }
    return outcome_;
  }

 private:
  static constexpr double kTokensPerMs = 32;
  static constexpr double kShared = 6'000;
  static constexpr double kOwn = 3'000;
  static constexpr std::size_t kSubjects = 900;
  static constexpr std::size_t kKept = 16;
  struct Engine {
    double freeAt = 0;
    std::deque<std::size_t> kept;
  };
  struct Reading {
    std::size_t daemon = 0;
    std::size_t engine = 0;
    std::uint64_t tokens = 0;
  };

  void place(int now) {
    ++outcome_.asked;
    // Few subjects get most of the requests.
    const double drawn = draws_.next();
    const auto subject = static_cast<std::size_t>(drawn * drawn * kSubjects);
    UpstreamCriteria wish;
    wish.service = ServiceName("s");
    wish.requestId = "r" + std::to_string(outcome_.asked);
    wish.affinity = "subject" + std::to_string(subject);
    wish.sharedTokens = static_cast<std::uint64_t>(kShared);
    const std::size_t daemon = draws_.below(daemons_.size());
    const UpstreamEntry* picked = pickUpstream(daemons_.table(daemon), wish, at(now));
    CPPUNIT_ASSERT(picked != nullptr);
    const std::size_t e = std::stoul(picked->record.id.str().substr(1));
    const auto announced = static_cast<std::uint64_t>(kShared + kOwn);
    daemons_.table(daemon).noteDispatched(picked->record.id, announced);
    Engine& engine = engines_[e];
    const auto kept = std::find(engine.kept.begin(), engine.kept.end(), subject);
    double tokens = kOwn;
    if (kept == engine.kept.end()) {
      tokens += kShared;
      if (readBefore_.contains(subject)) outcome_.sharedReadAgain += kShared;
    } else {
      engine.kept.erase(kept);
    }
    readBefore_.insert(subject);
    engine.kept.push_back(subject);
    if (engine.kept.size() > kKept) engine.kept.pop_front();
    outcome_.tokensRead += tokens;
    engine.freeAt = std::max(engine.freeAt, static_cast<double>(now)) + tokens / kTokensPerMs;
    const int end = static_cast<int>(engine.freeAt) + 1;
    outcome_.firstMs.push_back(end - now);
    ends_.emplace(end, Reading{daemon, e, announced});
  }
  void endReading(int now) {
    while (!ends_.empty() && ends_.begin()->first <= now) {
      const Reading reading = ends_.begin()->second;
      ends_.erase(ends_.begin());
      const UpstreamId id("e" + std::to_string(reading.engine));
      daemons_.table(reading.daemon).notePromptDone(id, reading.tokens);
      daemons_.table(reading.daemon).noteEnded(id, DispatchResult::answered, at(now));
    }
  }

  std::vector<Engine> engines_;
  Daemons daemons_;
  std::multimap<int, Reading> ends_;
  std::set<std::size_t> readBefore_;
  ModelOutcome outcome_;
  Draws draws_;
  double owed_ = 0;
};

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(aFleetOnOneStaleWordSpreadsItsRequests);
  CPPUNIT_TEST(aBurstOfPromptsDoesNotGoWhereEveryoneElseSendsIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Upstreams with six slots each, about half of them taken; then one that is slow, so that its
  /// load tells. What every daemon hears is half a second old, in which many times the slots of an
  /// upstream are placed: daemons that all turn to the least loaded one overrun it.
  void aFleetOnOneStaleWordSpreadsItsRequests() {
    struct Row {
      std::string name;
      std::size_t daemons;
      std::vector<double> speeds;
      double perSecond;
      double workMs;
      double mostRejected;
      int mostWaited;
    };
    const std::vector<Row> rows{
        {"one daemon", 1, {1, 1, 1, 1, 1}, 234, 60, 0, 5},
        {"77 daemons", 77, {1, 1, 1, 1, 1}, 234, 60, 0.0005, 30},
        {"295 daemons", 295, {1, 1, 1, 1, 1}, 234, 60, 0.0005, 30},
        {"77 daemons, a slow upstream", 77, {1, 1, 0.3, 1, 1}, 200, 60, 0.0005, 100},
        {"295 daemons, a slow upstream", 295, {1, 1, 0.3, 1, 1}, 200, 60, 0.0005, 100},
    };
    std::string misses;
    for (const Row& row : rows) {
      const PlainOutcome got =
          PlainFleet(row.daemons, row.speeds).run(40'000, row.perSecond, row.workMs);
      if (got.rejectedPart() <= row.mostRejected && got.waited(0.95) <= row.mostWaited) continue;
      misses += row.name + ": rejected " + std::to_string(got.rejectedPart()) + ", waited " +
                std::to_string(got.waited(0.95)) + " ms at the 95th of 100; ";
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), misses);
  }

  /// Prompts come twice as fast for four seconds. Homes fall behind, and every daemon that leaves
  /// one does so by the same old word.
  void aBurstOfPromptsDoesNotGoWhereEveryoneElseSendsIt() {
    struct Row {
      std::string name;
      std::size_t daemons;
      int mostFirst;
      double mostReadAgain;
    };
    const std::vector<Row> rows{
        {"one daemon", 1, 700, 0.10},
        {"77 daemons", 77, 950, 0.12},
        {"295 daemons", 295, 950, 0.12},
    };
    std::string misses;
    for (const Row& row : rows) {
      const ModelOutcome got = ModelFleet(row.daemons, 40).run(16'000, [](int ms) {
        return ms >= 8'000 && ms < 12'000 ? 1.4 : 0.7;
      });
      if (got.first(0.95) <= row.mostFirst && got.readAgainPart() <= row.mostReadAgain) continue;
      misses += row.name + ": first event after " + std::to_string(got.first(0.5)) +
                " ms at the median, " + std::to_string(got.first(0.95)) +
                " ms at the 95th of 100, read again " + std::to_string(got.readAgainPart()) + "; ";
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), misses);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

}  // namespace
