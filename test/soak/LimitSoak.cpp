// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/LimitSoak.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "test/soak/Callers.h"
#include "test/soak/GatewayFleet.h"
#include "test/soak/SoakOptions.h"

namespace Soak {
namespace {

using Standin::ReplicaStandin;

constexpr int kReplicas = 6;
/// The first ones name limits.
constexpr std::size_t kLimited = 2;
constexpr Millis kWorkTime{30};
constexpr Millis kTurn{100};
constexpr Millis kWindow{4'000};
constexpr double kWindowS = 4;
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;
/// From an answer that names a limit until its daemon keeps it.
constexpr Millis kTold{500};
/// The last replica rejects all requests with this Retry-After, in the middle of the run.
constexpr Millis kRetryAfter{2'000};
constexpr double kRejectsFrom = 0.3;
constexpr double kRejectsTo = 0.7;
/// From a rejection until its daemon backs off, and what may come later.
constexpr Millis kBackoffNoticed{500};
constexpr std::ptrdiff_t kMostInBackoff = 2;
constexpr unsigned kDisturbanceTurns = 30;
constexpr Millis kSuspension{2'000};
/// Share of the requests that must be served: the others meet daemons that are down or suspended.
constexpr double kServed = 0.9;
/// Share of the allowance that a limited replica must get, and share of the mean of the others that
/// one must get some seconds after its limit.
constexpr double kUsedOfLimit = 0.3;
constexpr double kUsedAfterLimit = 0.5;

std::string body(std::uint64_t number) {
  return absl::StrCat("unique", number);
}

/// A time from which on a replica names a limit; 0 for none.
struct Phase {
  Clock::time_point from;
  double perSecond = 0;
};

/// Times relative to the length of the run, and limits.
struct PlannedPhase {
  double at = 0;
  double perSecond = 0;
};

constexpr PlannedPhase kPlan[kLimited][4] = {{{0.2, 2}, {0.45, 0.8}, {0.7, 0}, {2, 0}},
                                             {{0.25, 1.1}, {0.5, 6}, {0.75, 0}, {2, 0}}};

class LimitCheck {
 public:
  LimitCheck(const GatewayFleet& fleet, const ReplicaStandin& replica, std::vector<Phase> phases)
      : fleet_(fleet), arrivals_(replica.arrivals()), phases_(std::move(phases)) {
    for (const Standin::NamedLimit& named : replica.namedLimits()) {
      firstTold_.emplace(named.caller, named.at);
    }
  }

  /// The most requests in a window beyond what is allowed there; negative if always within.
  double worstExcess() const {
    double worst = -kSlack;
    const Clock::time_point bound = phases_.front().from + GatewayFleet::kContact;
    for (std::size_t i = 0; i < arrivals_.size(); ++i) {
      const Clock::time_point start = arrivals_[i].at;
      const double limit = highestLimit(start, start + kWindow);
      if (start < bound || limit == 0) continue;
      double count = 0;
      for (std::size_t j = i; j < arrivals_.size() && arrivals_[j].at <= start + kWindow; ++j) {
        if (counts(arrivals_[j])) ++count;
      }
      worst = std::max(worst, count - (kTolerance * kWindowS * limit + kSlack));
    }
    return worst;
  }
  double arrivalsBetween(Clock::time_point from, Clock::time_point to) const {
    return static_cast<double>(
        std::count_if(arrivals_.begin(), arrivals_.end(),
                      [&](const auto& arrival) { return arrival.at >= from && arrival.at < to; }));
  }

 private:
  /// From daemons that had received the limit and ran undisturbed.
  bool counts(const Standin::Arrival& arrival) const {
    const auto told = firstTold_.find(arrival.caller);
    if (told == firstTold_.end() || arrival.at - told->second < kTold) return false;
    return fleet_.inContact(arrival.caller, arrival.at);
  }
  /// 0 if the replica named none in part of the window.
  double highestLimit(Clock::time_point from, Clock::time_point to) const {
    double highest = 0;
    for (std::size_t i = 0; i < phases_.size(); ++i) {
      const bool last = i + 1 == phases_.size();
      const bool overlaps = phases_[i].from <= to && (last || phases_[i + 1].from > from);
      if (!overlaps) continue;
      if (phases_[i].perSecond == 0) return 0;
      highest = std::max(highest, phases_[i].perSecond);
    }
    return highest;
  }

  const GatewayFleet& fleet_;
  std::vector<Standin::Arrival> arrivals_;
  std::vector<Phase> phases_;
  std::map<std::string, Clock::time_point> firstTold_;
};

bool checkReplica(const GatewayFleet& fleet, std::size_t index, const std::vector<Phase>& phases,
                  Clock::time_point end) {
  const LimitCheck check(fleet, *fleet.replicas()[index], phases);
  const double excess = check.worstExcess();
  const Clock::time_point settled = phases[0].from + GatewayFleet::kContact;
  const double limitedS = std::chrono::duration<double>(phases[1].from - settled).count();
  const double used = check.arrivalsBetween(settled, phases[1].from) / limitedS;
  const Clock::time_point after = phases[2].from + GatewayFleet::kContact;
  double others = 0;
  for (std::size_t i = kLimited; i < fleet.replicas().size(); ++i) {
    others += LimitCheck(fleet, *fleet.replicas()[i], phases).arrivalsBetween(after, end);
  }
  others /= static_cast<double>(fleet.replicas().size() - kLimited);
  const double mine = check.arrivalsBetween(after, end);
  std::cout << "replica " << index << ": at most " << excess
            << " requests beyond the bound in 4 s; at a limit of " << phases[0].perSecond
            << " a second it got " << used << "; after the limit " << mine << ", the others "
            << others << "\n";
  return excess <= 0 && used >= kUsedOfLimit * phases[0].perSecond &&
         mine >= kUsedAfterLimit * others;
}

/// Whether each daemon sent the replica no requests for the Retry-After of its rejections, but for
/// those that were under way.
bool backedOff(const GatewayFleet& fleet, const ReplicaStandin& replica) {
  std::vector<Standin::Arrival> all = replica.arrivals();
  const std::vector<Standin::Rejection> rejections = replica.rejections();
  for (const Standin::Rejection& rejection : rejections) all.push_back(rejection.arrival);
  std::ptrdiff_t most = 0;
  for (const Standin::Rejection& rejection : rejections) {
    const Standin::Arrival& rejected = rejection.arrival;
    const Clock::time_point end = rejected.at + rejection.retryAfter;
    if (!fleet.inContact(rejected.caller, end)) continue;
    most = std::max(most, std::count_if(all.begin(), all.end(), [&](const auto& arrival) {
                      return arrival.caller == rejected.caller && arrival.at < end &&
                             arrival.at > rejected.at + kBackoffNoticed;
                    }));
  }
  std::cout << replica.id() << " rejected " << rejections.size() << " requests and got at most "
            << most << " in a Retry-After\n";
  return most <= kMostInBackoff;
}

}  // namespace

bool runLimitSoak(const SoakOptions& options) {
  GatewayFleet fleet(options.binaries, options.work, options.daemons);
  for (int i = 0; i < kReplicas; ++i) fleet.addReplica(kWorkTime);
  fleet.start();
  const auto start = Clock::now();
  const auto length = std::chrono::seconds(options.seconds);
  const auto end = start + length;
  Callers callers(fleet, options.seed);
  callers.add(8, Millis(100), body);
  std::mt19937 random(options.seed);
  std::vector<std::vector<Phase>> phases(kLimited);
  std::size_t suspended = 0;
  Clock::time_point resumeAt{};
  while (Clock::now() < end) {
    const auto now = Clock::now();
    const double progress = std::chrono::duration<double>(now - start) / length;
    const bool rejects = progress >= kRejectsFrom && progress < kRejectsTo;
    fleet.replicas().back()->rejectWith(rejects ? kRetryAfter : Millis(0));
    for (std::size_t i = 0; i < kLimited; ++i) {
      const PlannedPhase& next = kPlan[i][phases[i].size()];
      if (progress < next.at) continue;
      fleet.replicas()[i]->nameLimit(next.perSecond);
      phases[i].push_back({now, next.perSecond});
    }
    if (resumeAt != Clock::time_point{} && now >= resumeAt) {
      fleet.resume(suspended);
      resumeAt = {};
    }
    if (resumeAt == Clock::time_point{} && random() % kDisturbanceTurns == 0) {
      const std::size_t index = random() % fleet.daemons().size();
      if (random() % 2 == 0) {
        fleet.kill(index);
        fleet.startDaemon(index);
      } else {
        fleet.suspend(index);
        suspended = index;
        resumeAt = now + kSuspension;
      }
    }
    std::this_thread::sleep_for(kTurn);
  }
  callers.stop();
  bool kept = fleet.noneEndedByItself();
  for (std::size_t i = 0; i < kLimited; ++i) kept = checkReplica(fleet, i, phases[i], end) && kept;
  kept = backedOff(fleet, *fleet.replicas().back()) && kept;
  const std::vector<Attempt> attempts = callers.attempts();
  const auto served = std::count_if(attempts.begin(), attempts.end(),
                                    [](const Attempt& attempt) { return attempt.status == 200; });
  std::cout << served << " of " << attempts.size() << " requests served\n";
  return kept && static_cast<double>(served) >= kServed * static_cast<double>(attempts.size());
}

}  // namespace Soak
