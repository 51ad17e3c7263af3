// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/RefusalSoak.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "test/soak/GatewayFleet.h"
#include "test/soak/KeptCallers.h"
#include "test/soak/SoakOptions.h"

namespace Soak {
namespace {

using Standin::CutKind;
using Habit = KeptCallers::Habit;
using Sort = KeptRequest::Sort;

constexpr int kReplicas = 8;
constexpr Millis kWorkTime{5};
/// Of the answers, by the run's seed.
constexpr std::array kDrawnParts{0.05, 0.1, 0.2};
constexpr int kBusyCallers = 12;
constexpr int kNewCallers = 5;
constexpr Millis kIdleTime{2'000};
constexpr Millis kTimeLimit{1'500};
constexpr Millis kTurn{50};
/// Turns between events of a kind, on average; restarts and reloads for each of a few parts of the
/// fleet.
constexpr unsigned kRestartTurns = 15;
constexpr unsigned kReloadTurns = 20;
constexpr unsigned kCutTurns = 40;
constexpr unsigned kStoreTurns = 60;
constexpr std::size_t kFleetPart = 7;
constexpr Millis kCutTime{1'500};
constexpr Millis kStoreOutage{1'500};
/// The grace period of the daemons' settings, and time for a busy machine.
constexpr Millis kStopLimit{20'000};
/// For what daemons still send after the last answer.
constexpr Millis kAfterTime{2'000};
constexpr double kServedPart = 0.3;

/// Disturbs daemons, links and the store in series that overlap.
class Disturbances {
 public:
  Disturbances(GatewayFleet& fleet, unsigned seed)
      : fleet_(fleet), random_(seed), stopSince_(fleet.daemons().size()) {}

  void turn(Clock::time_point now) {
    for (std::size_t i = 0; i < std::max<std::size_t>(stopSince_.size() / kFleetPart, 1); ++i) {
      if (hits(kRestartTurns)) restart(any(), now);
      const std::size_t reloaded = any();
      if (hits(kReloadTurns) && !stopSince_[reloaded]) {
        ++reloads_;
        fleet_.reload(reloaded);
      }
    }
    if (now >= cutEnd_ && hits(kCutTurns)) cut(now);
    if (hits(kStoreTurns)) storeBack_ = now + kStoreOutage;
    tend(now);
  }
  /// \returns whether all daemons stopped in time.
  bool end() {
    cutEnd_ = storeBack_ = Clock::now();
    const auto stopping = [](const auto& since) { return since.has_value(); };
    do {
      tend(Clock::now());
      std::this_thread::sleep_for(kTurn);
    } while (std::any_of(stopSince_.begin(), stopSince_.end(), stopping));
    std::cout << kills_ << " kills, " << stops_ << " stops, " << overdue_ << " overdue, " << cuts_
              << " cuts, " << reloads_ << " reloads\n";
    return overdue_ == 0;
  }

 private:
  bool hits(unsigned turns) { return random_() % turns == 0; }
  std::size_t any() { return random_() % stopSince_.size(); }

  void restart(std::size_t index, Clock::time_point now) {
    // As of now: one that was started in this turn may not handle signals yet.
    if (stopSince_[index] || !fleet_.inContact(fleet_.daemons()[index].ip, Clock::now())) return;
    if (hits(2)) {
      ++stops_;
      fleet_.stop(index);
      stopSince_[index] = now;
      return;
    }
    ++kills_;
    fleet_.kill(index);
    fleet_.startDaemon(index);
  }
  /// Cuts a third of the daemons off.
  void cut(Clock::time_point now) {
    constexpr std::size_t kThird = 3;
    std::set<std::string> ips;
    for (std::size_t i = any() % kThird; i < stopSince_.size(); i += kThird) {
      ips.insert(fleet_.daemons()[i].ip);
    }
    const auto kind = static_cast<CutKind>((random_() + static_cast<unsigned>(++cuts_)) % 3);
    for (const auto& replica : fleet_.replicas()) replica->cutOff(ips, kind);
    cutEnd_ = now + kCutTime;
    isCut_ = true;
  }
  void tend(Clock::time_point now) {
    fleet_.setStoreAway(now < storeBack_);
    if (isCut_ && now >= cutEnd_) {
      for (const auto& replica : fleet_.replicas()) replica->cutOff({}, CutKind::hang);
      isCut_ = false;
    }
    for (std::size_t i = 0; i < stopSince_.size(); ++i) {
      if (!stopSince_[i]) continue;
      const bool late = now > *stopSince_[i] + kStopLimit;
      if (late) ++overdue_;
      if (late) fleet_.kill(i);
      if (!late && !fleet_.stopped(i)) continue;
      stopSince_[i].reset();
      fleet_.startDaemon(i);
    }
  }

  GatewayFleet& fleet_;
  std::mt19937 random_;
  std::vector<std::optional<Clock::time_point>> stopSince_;
  Clock::time_point storeBack_{};
  Clock::time_point cutEnd_{};
  bool isCut_ = false;
  int kills_ = 0;
  int stops_ = 0;
  int overdue_ = 0;
  int cuts_ = 0;
  int reloads_ = 0;
};

bool check(const GatewayFleet& fleet, const std::vector<KeptRequest>& requests) {
  std::map<std::string, int> runs;
  std::map<std::string, std::vector<std::string>> runsOfBody;
  for (const Standin::Arrival& arrival : fleet.arrivals()) {
    ++runs[arrival.id];
    runsOfBody[arrival.body].push_back(arrival.id + " at " + arrival.replica);
  }
  std::set<std::string> rejected;
  for (const auto& replica : fleet.replicas()) {
    for (const Standin::Rejection& rejection : replica->rejections()) {
      rejected.insert(rejection.arrival.id);
    }
  }
  std::set<std::string> once;
  std::set<std::string> twice;
  int served = 0;
  int onceServed = 0;
  int refused = 0;
  int repeated = 0;
  int ranAndFailed = 0;
  int unanswered = 0;
  int refusedAndRan = 0;
  int onceRefusedAndRan = 0;
  int passedOn = 0;
  int foreign = 0;
  int servedAfterRejection = 0;
  for (const KeptRequest& request : requests) {
    const bool isOnce = request.sort == Sort::once;
    const bool isServed = request.whole && request.status == 200;
    const int ran = runs[request.id];
    if (isOnce) once.insert(request.body);
    if (isOnce && runsOfBody[request.body].size() > 1) twice.insert(request.body);
    if (isServed) ++served;
    if (isServed && isOnce) ++onceServed;
    if (request.refused()) ++refused;
    if (request.earlier > 0) ++repeated;
    if (ran > 0 && !isServed) ++ranAndFailed;
    if (request.status == 0) ++unanswered;
    if (request.foreign) ++foreign;
    if (isOnce && isServed && rejected.contains(request.id)) ++servedAfterRejection;
    if (!request.refused() || ran == 0) continue;
    ++refusedAndRan;
    if (isOnce) ++onceRefusedAndRan;
    if (!isOnce && request.passedOn) ++passedOn;
    std::cout << request.id << " of " << (isOnce ? "once" : "run") << " " << request.body
              << ", gateway-" << request.daemon << ", answered " << request.status << ", ran "
              << ran << " times\n";
  }
  for (const std::string& body : twice) {
    std::cout << "once " << body << " ran as " << absl::StrJoin(runsOfBody[body], ", ") << "\n";
  }
  std::cout << requests.size() << " attempts: " << served << " served, " << refused << " refused, "
            << repeated << " repeated, " << unanswered << " unanswered, " << ranAndFailed
            << " ran and failed; " << rejected.size() << " rejected by a replica, "
            << servedAfterRejection << " that may run once served by another\n"
            << once.size() << " requests that may run once: " << onceServed << " served, "
            << twice.size() << " RAN TWICE; " << refusedAndRan << " attempts REFUSED that ran ("
            << onceRefusedAndRan << " that may run once, " << passedOn
            << " others by an upstream's answer), " << foreign << " FOREIGN answers\n";
  const bool fair = onceServed >= kServedPart * static_cast<double>(once.size());
  return twice.empty() && refusedAndRan == 0 && foreign == 0 && fair && servedAfterRejection > 0;
}

}  // namespace

bool runRefusalSoak(const SoakOptions& options) {
  GatewayFleet fleet(options.binaries, options.work, options.daemons);
  FleetSettings settings;
  settings.timeLimit = kTimeLimit;
  settings.idleTime = kIdleTime;
  fleet.writeSettings(settings);
  for (int i = 0; i < kReplicas; ++i) fleet.addReplica(kWorkTime);
  fleet.start();
  const double part = kDrawnParts.at(options.seed % kDrawnParts.size());
  std::cout << part << " of the answers are drawn\n";
  unsigned seed = options.seed * 1'000;
  for (const auto& replica : fleet.replicas()) replica->drawAnswers(part, ++seed);
  KeptCallers callers(fleet, options.seed, Millis(0));
  callers.announce(kIdleTime, kTimeLimit);
  callers.add(kBusyCallers + options.daemons / 4, Habit::busy);
  callers.add(kNewCallers + options.daemons / 8, Habit::busyOnNew);
  Disturbances disturbances(fleet, options.seed);
  const auto end = Clock::now() + std::chrono::seconds(options.seconds);
  for (auto now = Clock::now(); now < end; now = Clock::now()) {
    disturbances.turn(now);
    std::this_thread::sleep_for(kTurn);
  }
  const bool stopped = disturbances.end();
  callers.stop();
  std::this_thread::sleep_for(kAfterTime);
  const bool alive = fleet.noneEndedByItself();
  return check(fleet, callers.requests()) && alive && stopped;
}

}  // namespace Soak
