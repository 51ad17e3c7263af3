// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/SiteSoak.h"

#include <absl/strings/str_cat.h>
#include <signal.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "test/soak/SiteCallers.h"
#include "test/soak/SiteFleet.h"
#include "test/soak/SoakOptions.h"

namespace Soak {
namespace {

using Clock = std::chrono::steady_clock;
using End = CallerResult::End;
using Millis = std::chrono::milliseconds;

constexpr double kSmallRate = 42;
constexpr double kLargeRate = 62;
constexpr int kSmallFleet = 6;
constexpr unsigned kStartSpreadMs = 300;
constexpr Millis kBeforeTraffic{2'000};
constexpr Millis kCalmAtStart{8'000};
constexpr Millis kCalm{8'000};
constexpr Millis kTurn{20};
constexpr Millis kHeldUp{300};
constexpr Millis kRestartDelay{1'000};
/// The contact bound, and two misses of the load balancer.
constexpr std::size_t kBackAfterSeconds = 3 + 2;
/// A request takes up to this long when nothing is wrong.
constexpr std::size_t kInFlightSeconds = 2;
constexpr Millis kReadyBound{3'000};
constexpr Millis kGrace{8'000};
constexpr double kServedShare = 0.95;
constexpr std::size_t kShortestStretch = 2;

/// Does the events and keeps what happened when.
class SiteOperator {
 public:
  SiteOperator(SiteFleet& fleet, unsigned seed)
      : fleet_(fleet), random_(seed), from_(Clock::now()) {}

  void startAll() {
    std::vector<std::pair<unsigned, std::size_t>> order;
    for (std::size_t i = 0; i < size(); ++i) order.emplace_back(random_() % kStartSpreadMs, i);
    std::sort(order.begin(), order.end());
    note("start all");
    for (const auto& [at, index] : order) {
      pause(Millis(at) - sinceLastNote());
      fleet_.start(index);
    }
  }

  /// Keeps the daemons running for \p time.
  void pause(Millis time) {
    const auto end = Clock::now() + time;
    do {
      const auto turn = Clock::now();
      for (std::size_t i = 0; i < size(); ++i) tend(i);
      std::this_thread::sleep_for(std::min<Clock::duration>(kTurn, end - Clock::now()));
      noteHeldUp(turn);
    } while (Clock::now() < end);
  }

  /// Each event in an order of the seed's, until \p end.
  void runEvents(Clock::time_point end) {
    using Event = void (SiteOperator::*)();
    std::vector<Event> events{
        &SiteOperator::killOne,          &SiteOperator::killMany,    &SiteOperator::killAll,
        &SiteOperator::stopInTurn,       &SiteOperator::reloadAll,   &SiteOperator::cutOneFromStore,
        &SiteOperator::cutOne,           &SiteOperator::cutZone,     &SiteOperator::storeAway,
        &SiteOperator::storeFails,       &SiteOperator::storeLate,   &SiteOperator::loseZone,
        &SiteOperator::suspendOne,       &SiteOperator::throttleOne, &SiteOperator::throttleAll,
        &SiteOperator::startWithoutStore};
    std::shuffle(events.begin(), events.end(), random_);
    for (const Event event : events) {
      if (Clock::now() >= end) return;
      (this->*event)();
      pause(kCalm);
    }
  }

  std::size_t second(Clock::time_point time) const {
    return static_cast<std::size_t>(std::max<Clock::duration>(time - from_, {}) /
                                    std::chrono::seconds(1));
  }
  const std::map<std::size_t, std::string>& notes() const { return notes_; }
  /// Whether something happened in the bound before the end of \p second or while its requests ran,
  /// or the site was out.
  bool disturbed(std::size_t second) const {
    const auto near = [&](std::size_t at) {
      return at <= second + kInFlightSeconds && second <= at + kBackAfterSeconds;
    };
    return std::any_of(instants_.begin(), instants_.end(), near) ||
           std::any_of(outages_.begin(), outages_.end(), [&](const auto& outage) {
             return second >= outage.first && second <= outage.second;
           });
  }
  bool clean() const { return clean_; }
  const std::vector<double>& readyAfter() const { return readyAfter_; }

 private:
  std::size_t size() const { return fleet_.daemons().size(); }
  std::size_t any() { return random_() % size(); }
  std::string name(std::size_t index) const { return fleet_.daemons()[index].name; }
  Millis sinceLastNote() const {
    return std::chrono::duration_cast<Millis>(Clock::now() - lastNote_);
  }

  void note(const std::string& text) {
    lastNote_ = Clock::now();
    instants_.push_back(second(lastNote_));
    std::string& line = notes_[instants_.back()];
    absl::StrAppend(&line, line.empty() ? "" : "; ", text);
  }
  /// Tells of a host that held this process up; that excuses nothing.
  void noteHeldUp(Clock::time_point since) {
    const auto took = std::chrono::duration_cast<Millis>(Clock::now() - since);
    if (took > kHeldUp)
      absl::StrAppend(&notes_[second(since)], " (soak held up ", took.count(), " ms)");
  }
  void find(const std::string& text) {
    clean_ = false;
    note("FOUND " + text);
  }

  /// Notes when it is ready and whether it ended, and starts it again, as the platform does.
  void tend(std::size_t index) {
    SiteDaemon& daemon = fleet_.daemons()[index];
    const std::optional<int> code = fleet_.ended(index);
    if (code) {
      if (!daemon.ending) find(absl::StrCat(daemon.name, " ended by itself: ", *code));
      if (!daemon.ending) fleet_.start(index);
      return;
    }
    if (daemon.readyAt || !daemon.process || !fleet_.isReady(index)) return;
    daemon.readyAt = Clock::now();
    const std::chrono::duration<double> took = *daemon.readyAt - daemon.startedAt;
    readyAfter_.push_back(took.count());
    if (took > kReadyBound && !withoutStore_) {
      find(absl::StrCat(daemon.name, " ready after ", took.count(), " s"));
    }
  }

  void killOne() { killFew({any()}); }
  void killMany() {
    std::vector<std::size_t> some;
    for (std::size_t i = 0; i < size(); ++i) {
      if (random_() % 2 == 0) some.push_back(i);
    }
    killFew(some);
  }
  void killAll() {
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < size(); ++i) all.push_back(i);
    const std::size_t from = second(Clock::now());
    killFew(all);
    outages_.emplace_back(from, second(Clock::now()));
  }
  void loseZone() {
    const std::size_t zone = random_() % SiteFleet::kZones;
    std::vector<std::size_t> lost;
    for (std::size_t i = 0; i < size(); ++i) {
      if (fleet_.daemons()[i].zone == zone) lost.push_back(i);
    }
    killFew(lost, kCalm);
  }
  void killFew(const std::vector<std::size_t>& some, Millis down = kRestartDelay) {
    std::string names;
    for (const std::size_t index : some) absl::StrAppend(&names, " ", name(index));
    note("kill" + names);
    for (const std::size_t index : some) fleet_.kill(index);
    pause(down);
    note("start" + names);
    const auto from = Clock::now();
    for (const std::size_t index : some) fleet_.start(index);
    noteHeldUp(from);
  }
  void stopInTurn() {
    for (std::size_t i = 0; i < size(); ++i) {
      note("SIGTERM " + name(i));
      fleet_.signal(i, SIGTERM, true);
      while (!fleet_.ended(i) && sinceLastNote() < kGrace) pause(kTurn);
      if (fleet_.ended(i) != 0) find(name(i) + " did not end well in its grace");
      if (!fleet_.ended(i)) fleet_.kill(i);
      pause(kRestartDelay);
      note("start " + name(i));
      fleet_.start(i);
      pause(kRestartDelay);
    }
  }
  void reloadAll() {
    note("SIGHUP all");
    for (std::size_t i = 0; i < size(); ++i) fleet_.signal(i, SIGHUP);
  }
  void cutOneFromStore() {
    const std::size_t index = any();
    note("cut from store " + name(index));
    fleet_.cutFromStore(fleet_.daemons()[index].ip);
    heal();
  }
  void cutOne() {
    const std::size_t index = any();
    note("cut off " + name(index));
    fleet_.cutFromAll(fleet_.daemons()[index].ip);
    heal();
  }
  void cutZone() {
    const std::size_t zone = random_() % SiteFleet::kZones;
    note(absl::StrCat("cut off zone-", zone));
    fleet_.cutFromAll(fleet_.ipOfZone(zone));
    heal();
  }
  void heal() {
    pause(kCalm);
    note("heal");
    fleet_.healLinks();
  }
  void storeAway() {
    note("store silent");
    const std::size_t from = second(Clock::now());
    fleet_.cutFromStore(fleet_.ipOfAll());
    heal();
    outages_.emplace_back(from, second(Clock::now()));
  }
  /// One daemon starts while the store is away; it has to be ready in the bound once that is back.
  void startWithoutStore() {
    withoutStore_ = true;
    note("store silent");
    const std::size_t from = second(Clock::now());
    fleet_.cutFromStore(fleet_.ipOfAll());
    killOne();
    heal();
    outages_.emplace_back(from, second(Clock::now()));
    withoutStore_ = false;
    for (SiteDaemon& daemon : fleet_.daemons()) {
      if (!daemon.readyAt) daemon.startedAt = Clock::now();
    }
  }
  void storeFails() {
    note("store 503");
    const std::size_t from = second(Clock::now());
    fleet_.setStoreFails(true);
    pause(kCalm);
    note("store back");
    fleet_.setStoreFails(false);
    outages_.emplace_back(from, second(Clock::now()));
  }
  void storeLate() {
    note("store 100 ms late");
    fleet_.delayStore(Millis(100));
    pause(kCalm);
    killOne();
    pause(kCalm);
    note("store fast");
    fleet_.delayStore(Millis(0));
  }
  void suspendOne() {
    const std::size_t index = any();
    note("SIGSTOP " + name(index));
    fleet_.signal(index, SIGSTOP);
    pause(Millis(5'000));
    note("SIGCONT " + name(index));
    fleet_.signal(index, SIGCONT);
  }
  void throttleOne() { throttleFew({any()}); }
  void throttleAll() {
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < size(); ++i) all.push_back(i);
    throttleFew(all);
  }
  void throttleFew(const std::vector<std::size_t>& some) {
    note(some.size() == 1 ? "throttle " + name(some[0]) : "throttle all");
    for (const std::size_t index : some) fleet_.throttle(index, true);
    pause(kCalm);
    killFew({some[random_() % some.size()]});
    pause(kCalm);
    note("full speed");
    for (const std::size_t index : some) fleet_.throttle(index, false);
  }

  SiteFleet& fleet_;
  std::mt19937 random_;
  Clock::time_point from_;
  Clock::time_point lastNote_;
  std::map<std::size_t, std::string> notes_;
  std::vector<std::size_t> instants_;
  std::vector<std::pair<std::size_t, std::size_t>> outages_;
  std::vector<double> readyAfter_;
  bool withoutStore_ = false;
  bool clean_ = true;
};

struct Counts {
  int served = 0;
  int refused = 0;
  int failed = 0;
  void add(End end) { ++(end == End::served ? served : end == End::refused ? refused : failed); }
  int all() const { return served + refused + failed; }
  std::string text() const { return absl::StrCat(served, "/", refused, "/", failed); }
};

void printQuantiles(const char* title, std::vector<double> values) {
  if (values.empty()) return;
  std::sort(values.begin(), values.end());
  const auto at = [&](double part) {
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
  };
  std::cout << title << ": p50 " << at(0.5) << ", p95 " << at(0.95) << ", most " << at(1) << "\n";
}

/// Prints the table by second. \returns whether each undisturbed stretch was served.
bool checkSeconds(const SiteOperator& op, const std::vector<CallerResult>& results,
                  std::size_t daemons) {
  std::map<std::size_t, std::vector<Counts>> table;
  for (const CallerResult& result : results) {
    std::vector<Counts>& row = table[op.second(result.at)];
    row.resize(daemons + 1);
    row[0].add(result.end);
    row[result.daemon + 1].add(result.end);
  }
  bool kept = true;
  Counts stretch;
  std::size_t length = 0;
  std::cout << "second, served/refused/failed in all and by daemon (* undisturbed), events\n";
  const auto endStretch = [&](std::size_t second) {
    if (length >= kShortestStretch && stretch.served < kServedShare * stretch.all()) {
      std::cout << "SHORT: " << stretch.text() << " in the " << length << " s up to second "
                << second << "\n";
      kept = false;
    }
    stretch = {};
    length = 0;
  };
  for (auto& [second, row] : table) {
    const bool calm = !op.disturbed(second);
    if (!calm) endStretch(second);
    if (calm) {
      stretch.served += row[0].served;
      stretch.refused += row[0].refused;
      stretch.failed += row[0].failed;
      ++length;
    }
    std::cout << std::setw(4) << second << (calm ? "* " : "  ");
    for (const Counts& counts : row) std::cout << std::setw(9) << counts.text();
    const auto note = op.notes().find(second);
    std::cout << (note == op.notes().end() ? "" : "  " + note->second) << "\n";
  }
  if (!table.empty()) endStretch(table.rbegin()->first);
  return kept;
}

void printLatencies(const SiteOperator& op, const std::vector<CallerResult>& results) {
  std::vector<double> plain;
  std::vector<double> streams;
  std::map<int, int> statuses;
  for (const CallerResult& result : results) {
    ++statuses[result.end == End::served ? 200 : result.status];
    if (result.end == End::served && !op.disturbed(op.second(result.at))) {
      (result.sort->events == 0 ? plain : streams)
          .push_back(static_cast<double>(result.first.count()));
    }
  }
  printQuantiles("ready after start, s", op.readyAfter());
  printQuantiles("undisturbed plain answers, ms", plain);
  printQuantiles("undisturbed first events, ms", streams);
  std::cout << "status of the last attempt (0: none):";
  for (const auto& [status, count] : statuses) std::cout << " " << status << ":" << count;
  std::cout << "\n";
}

/// Counts refusals for a quota while one bucket of the tenant would still hold half its burst.
void printRefusedInQuota(const SiteFleet& fleet, std::vector<CallerResult> results) {
  std::sort(results.begin(), results.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
  struct Bucket {
    double level = 0;
    Clock::time_point at;
  };
  std::map<std::size_t, Bucket> buckets;
  int refused = 0;
  int inside = 0;
  for (const CallerResult& result : results) {
    const double rate = fleet.quota(result.tenant);
    const double burst = SiteFleet::kBurstSeconds * rate;
    Bucket& bucket = buckets[result.tenant];
    const std::chrono::duration<double> elapsed = result.at - bucket.at;
    bucket = {std::min(burst, bucket.level + rate * elapsed.count()), result.at};
    refused += result.overQuota;
    if (bucket.level >= burst / 2) inside += result.overQuota;
    bucket.level -= result.sort->tokens;
  }
  std::cout << "attempts refused for a quota: " << refused
            << ", with over half the burst left: " << inside << "\n";
}

}  // namespace

bool runSiteSoak(const SoakOptions& options) {
  SiteFleet fleet(options.binaries, options.work, options.daemons, options.seed);
  SiteOperator op(fleet, options.seed);
  op.startAll();
  op.pause(kBeforeTraffic);
  SiteCallers callers(fleet, options.daemons > kSmallFleet ? kLargeRate : kSmallRate, options.seed);
  op.pause(kCalmAtStart);
  op.runEvents(Clock::now() + std::chrono::seconds(options.seconds));
  callers.stop();
  const std::vector<CallerResult> results = callers.results();
  const bool kept = checkSeconds(op, results, fleet.daemons().size());
  printLatencies(op, results);
  printRefusedInQuota(fleet, results);
  return kept && op.clean();
}

}  // namespace Soak
