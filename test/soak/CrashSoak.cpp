// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/CrashSoak.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <thread>
#include <vector>

#include "Hallchute/src/Core/StableHash.h"
#include "test/soak/Callers.h"
#include "test/soak/GatewayFleet.h"
#include "test/soak/SoakOptions.h"

namespace Soak {
namespace {

using Standin::ReplicaStandin;

constexpr int kReplicas = 9;
constexpr Millis kWorkTime{50};
/// From a crash to the end of the replica's entry and to its return under another id.
constexpr Millis kEntryLapse{3'600};
constexpr Millis kRestartTime{2'000};
constexpr Millis kTurn{100};
/// Mean time between crashes that no request causes.
constexpr unsigned kOtherCrashTurns = 25;
constexpr unsigned kDisturbanceTurns = 40;
constexpr Millis kSuspension{2'500};
constexpr std::size_t kAllowedRetries = 3;
constexpr std::size_t kAllowedCrashes = 3;
constexpr std::size_t kAllowedPartCrashes = 5;
constexpr std::uint64_t kCrashingContents = 2;
constexpr std::uint64_t kRecurringContents = 5;
/// Share of the other requests that must be served in the last seconds, when no replica crashes
/// but by requests that were identified long before.
constexpr double kServedAtEnd = 0.95;
constexpr Millis kCalmEnd{5'000};

std::string crashingContent(std::uint64_t index) {
  return absl::StrCat(ReplicaStandin::kCrashingBody, index);
}

/// The numbers of one thread's requests may all be odd, so the contents go by a hash of them.
std::string crashingBody(std::uint64_t number) {
  return crashingContent(Hallchute::stableHash(std::to_string(number)) % kCrashingContents);
}

std::string crashingPart(std::uint64_t index) {
  return absl::StrCat(ReplicaStandin::kCrashingPart, index);
}

/// No two of these requests are alike; they share one of two parts of their prompts.
std::string crashingPartBody(std::uint64_t number) {
  const std::uint64_t part = Hallchute::stableHash(std::to_string(number)) % kCrashingContents;
  return absl::StrCat(crashingPart(part), "-", number);
}

/// Two thirds of the other requests are unique, half of them with a prompt; the others recur.
std::string otherBody(std::uint64_t number) {
  if (number % 3 == 0) return absl::StrCat("recurring", number / 3 % kRecurringContents);
  if (number % 3 == 1) return absl::StrCat(Callers::kPromptBody, number % 5, "-", number);
  return absl::StrCat("unique", number);
}

/// What requests that crash replicas have in common: the body, or the prompt's part.
std::string kindOf(const std::string& body) {
  return body.substr(0, body.find('-'));
}

bool isCrashing(const std::string& body) {
  return body.rfind(ReplicaStandin::kCrashingBody, 0) == 0 ||
         body.rfind(ReplicaStandin::kCrashingPart, 0) == 0;
}

/// Restarts crashed replicas, crashes others at random, and kills and suspends daemons.
class Operator {
 public:
  Operator(GatewayFleet& fleet, unsigned seed) : fleet_(fleet), random_(seed) {}

  /// \param calm no crashes and disturbances of its own.
  void turn(bool calm) {
    const auto now = Clock::now();
    for (std::size_t i = 0; i < fleet_.replicas().size(); ++i) tend(*fleet_.replicas()[i], now);
    if (resumeAt_ && now >= *resumeAt_) {
      fleet_.resume(suspended_);
      resumeAt_.reset();
    }
    if (calm) return;
    if (random_() % kOtherCrashTurns == 0) crashOne();
    if (random_() % kDisturbanceTurns == 0) disturbOne(now);
  }

 private:
  void tend(const ReplicaStandin& replica, Clock::time_point now) {
    if (!replica.crashed()) return;
    const auto down = now - replica.crashedAt();
    if (down >= kRestartTime && restarted_.insert(replica.id()).second) {
      fleet_.addReplica(kWorkTime);
    }
    if (down >= kEntryLapse && lapsed_.insert(replica.id()).second) fleet_.unlist(replica);
  }
  void crashOne() {
    const auto& replicas = fleet_.replicas();
    replicas[random_() % replicas.size()]->crash();
  }
  void disturbOne(Clock::time_point now) {
    const std::size_t index = random_() % fleet_.daemons().size();
    if (resumeAt_) return;
    if (random_() % 2 == 0) {
      fleet_.kill(index);
      fleet_.startDaemon(index);
    } else {
      fleet_.suspend(index);
      suspended_ = index;
      resumeAt_ = now + kSuspension;
    }
  }

  GatewayFleet& fleet_;
  std::mt19937 random_;
  std::set<std::string> restarted_;
  std::set<std::string> lapsed_;
  std::optional<Clock::time_point> resumeAt_;
  std::size_t suspended_ = 0;
};

/// The times at which replicas crashed while they ran requests of \p kind, in order.
std::vector<Clock::time_point> crashesUnder(const GatewayFleet& fleet, const std::string& kind) {
  std::vector<Clock::time_point> crashes;
  for (const auto& replica : fleet.replicas()) {
    const std::vector<std::string> running = replica->runningAtCrash();
    const auto ofKind = [&](const std::string& body) { return kindOf(body) == kind; };
    if (std::any_of(running.begin(), running.end(), ofKind)) {
      crashes.push_back(replica->crashedAt());
    }
  }
  std::sort(crashes.begin(), crashes.end());
  return crashes;
}

/// Whether all attempts of \p kind since \p from were refused; there must be some.
bool refusedSince(const std::vector<Attempt>& attempts, const std::string& kind,
                  Clock::time_point from) {
  std::size_t refused = 0;
  for (const Attempt& attempt : attempts) {
    if (kindOf(attempt.body) != kind || attempt.at < from) continue;
    if (attempt.status != 503) return false;
    ++refused;
  }
  return refused > 0;
}

/// A daemon also counts a crash if the request had been sent and was not yet running, so that two
/// crashes may put it in quarantine; it must then be refused to the end.
bool checkCrashing(const GatewayFleet& fleet, const std::vector<Standin::Arrival>& arrivals,
                   const std::vector<Attempt>& attempts, const std::string& kind,
                   std::size_t allowedCrashes, Clock::time_point calmFrom) {
  const std::vector<Clock::time_point> crashes = crashesUnder(fleet, kind);
  if (crashes.size() < allowedCrashes) {
    const bool refused = refusedSince(attempts, kind, calmFrom);
    std::cout << kind << ": " << crashes.size() << " replicas crashed under it, "
              << (refused ? "then it was refused\n" : "and it was not refused\n");
    return refused;
  }
  const Clock::time_point bound = crashes[allowedCrashes - 1] + GatewayFleet::kContact;
  std::size_t late = 0;
  for (const Standin::Arrival& arrival : arrivals) {
    if (kindOf(arrival.body) != kind || arrival.at < bound) continue;
    if (fleet.inContact(arrival.caller, arrival.at)) ++late;
  }
  std::cout << kind << ": " << crashes.size() << " replicas crashed under it; it reached replicas "
            << late << " times later than the bound\n";
  return late <= kAllowedRetries;
}

/// Other requests: how many replicas crashed under them, and how they were answered.
bool checkOthers(const GatewayFleet& fleet, const std::vector<Attempt>& attempts,
                 Clock::time_point calmFrom) {
  std::set<std::string> crashed;
  for (const auto& replica : fleet.replicas()) {
    for (const std::string& body : replica->runningAtCrash()) {
      if (!isCrashing(body)) crashed.insert(body);
    }
  }
  std::map<int, int> statuses;
  std::size_t refusedAfterCrash = 0;
  std::size_t atEnd = 0;
  std::size_t servedAtEnd = 0;
  for (const Attempt& attempt : attempts) {
    if (isCrashing(attempt.body)) continue;
    ++statuses[attempt.status];
    if (attempt.status == 503 && crashed.contains(attempt.body)) ++refusedAfterCrash;
    if (attempt.at < calmFrom) continue;
    ++atEnd;
    if (attempt.status == 200) ++servedAtEnd;
  }
  std::cout << "others:";
  for (const auto& [status, count] : statuses) std::cout << " " << status << ":" << count;
  std::cout << "; " << crashed.size() << " of their contents ran on a replica as it crashed, "
            << refusedAfterCrash << " attempts of these were refused; in the calm end "
            << servedAtEnd << " of " << atEnd << " served\n";
  return static_cast<double>(servedAtEnd) >= kServedAtEnd * static_cast<double>(atEnd);
}

}  // namespace

bool runCrashSoak(const SoakOptions& options) {
  GatewayFleet fleet(options.binaries, options.work, options.daemons);
  for (int i = 0; i < kReplicas; ++i) fleet.addReplica(kWorkTime);
  fleet.start();
  const auto start = Clock::now();
  const auto end = start + std::chrono::seconds(options.seconds);
  Callers callers(fleet, options.seed);
  callers.add(6, Millis(100), otherBody);
  callers.add(2, Millis(300), crashingBody);
  callers.add(2, Millis(300), crashingPartBody);
  Operator op(fleet, options.seed);
  while (Clock::now() < end) {
    op.turn(Clock::now() >= end - kCalmEnd - kSuspension - kRestartTime);
    std::this_thread::sleep_for(kTurn);
  }
  callers.stop();
  const std::vector<Standin::Arrival> arrivals = fleet.arrivals();
  const std::vector<Attempt> attempts = callers.attempts();
  bool kept = fleet.noneEndedByItself();
  for (std::uint64_t i = 0; i < kCrashingContents; ++i) {
    const auto check = [&](const std::string& kind, std::size_t allowed) {
      return checkCrashing(fleet, arrivals, attempts, kind, allowed, end - kCalmEnd);
    };
    kept = check(crashingContent(i), kAllowedCrashes) && kept;
    kept = check(crashingPart(i), kAllowedPartCrashes) && kept;
  }
  return checkOthers(fleet, attempts, end - kCalmEnd) && kept;
}

}  // namespace Soak
