// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/BrittleSoak.h"

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

constexpr std::size_t kReplicas = 4;
constexpr Millis kWorkTime{200};
constexpr Standin::BrittleRoom kRoom{6, 4, 10};
/// As many as fill all slots and queues, half more, and return soon after a refusal.
constexpr int kCallers = 60;
constexpr Millis kCallerPeriod{100};
constexpr Millis kTurn{100};
constexpr Millis kAway{3'000};
/// When one replica crashes for another reason, of the run's length.
constexpr double kCrashAt = 0.4;
constexpr unsigned kDisturbanceTurns = 50;
constexpr double kMostFalls = 2 + 0.1 * static_cast<double>(kReplicas);
/// A jump of demand: replicas with short requests, and demand as a share of what they could do.
constexpr std::size_t kJumpReplicas = 5;
constexpr Millis kShortWork{60};
constexpr Millis kJumpPeriod{200};
constexpr double kDemand = 0.6;
constexpr double kDemandAfterJump = 2;
constexpr double kJumpAt = 0.5;
constexpr double kMostJumpFalls = 2 + 0.1 * static_cast<double>(kJumpReplicas);
/// Of what the replicas could do.
constexpr double kServed = 0.4;

std::string body(std::uint64_t number) {
  return absl::StrCat("unique", number);
}

/// Replaces replicas that have crashed after some time.
class Replacements {
 public:
  explicit Replacements(GatewayFleet& fleet) : fleet_(fleet) {}
  void update(Clock::time_point now) {
    for (std::size_t i = 0; i < fleet_.replicas().size(); ++i) {
      const Standin::ReplicaStandin& replica = *fleet_.replicas()[i];
      if (!replica.crashed() || !crashed_.emplace(i, now).second) continue;
      fleet_.unlist(replica);
      due_.push_back(now + kAway);
    }
    while (!due_.empty() && due_.front() <= now) {
      fleet_.addReplica(kWorkTime, "1", kRoom);
      due_.erase(due_.begin());
    }
  }
  std::size_t crashed() const { return crashed_.size(); }

 private:
  GatewayFleet& fleet_;
  std::map<std::size_t, Clock::time_point> crashed_;
  std::vector<Clock::time_point> due_;
};

/// Falls, answers and daemons that ended by themselves, of a run.
bool checkRun(GatewayFleet& fleet, Callers& callers, std::size_t falls, double capacity,
              double mostFalls) {
  const std::vector<Attempt> attempts = callers.attempts();
  const auto served = std::count_if(attempts.begin(), attempts.end(),
                                    [](const Attempt& attempt) { return attempt.status == 200; });
  const double share = static_cast<double>(served) / capacity;
  std::cout << falls << " replicas crashed under rejections; " << served << " of "
            << attempts.size() << " requests served, " << share << " of the capacity\n";
  const bool kept = fleet.noneEndedByItself();
  return kept && static_cast<double>(falls) <= mostFalls && share >= kServed;
}

}  // namespace

bool runBrittleSoak(const SoakOptions& options) {
  GatewayFleet fleet(options.binaries, options.work, options.daemons);
  for (std::size_t i = 0; i < kReplicas; ++i) fleet.addReplica(kWorkTime, "1", kRoom);
  fleet.start();
  Callers callers(fleet, options.seed);
  callers.add(kCallers, kCallerPeriod, body);
  Replacements replacements(fleet);
  std::mt19937 random(options.seed);
  const auto start = Clock::now();
  const auto length = std::chrono::seconds(options.seconds);
  bool crashedOne = false;
  while (Clock::now() < start + length) {
    const auto now = Clock::now();
    const double progress = std::chrono::duration<double>(now - start) / length;
    if (!crashedOne && progress >= kCrashAt) {
      fleet.replicas()[random() % fleet.replicas().size()]->crash();
      crashedOne = true;
    }
    replacements.update(now);
    if (random() % kDisturbanceTurns == 0) {
      const std::size_t index = random() % fleet.daemons().size();
      fleet.kill(index);
      fleet.startDaemon(index);
    }
    std::this_thread::sleep_for(kTurn);
  }
  callers.stop();
  replacements.update(Clock::now());
  const std::size_t falls = replacements.crashed() - 1;
  const double capacity = static_cast<double>(kReplicas * kRoom.slots) *
                          (std::chrono::duration<double>(length) / kWorkTime);
  return checkRun(fleet, callers, falls, capacity, kMostFalls);
}

bool runJumpSoak(const SoakOptions& options) {
  GatewayFleet fleet(options.binaries, options.work, options.daemons);
  for (std::size_t i = 0; i < kJumpReplicas; ++i) fleet.addReplica(kShortWork, "1", kRoom);
  fleet.start();
  const double perSecond = static_cast<double>(kJumpReplicas * kRoom.slots) /
                           std::chrono::duration<double>(kShortWork).count();
  const auto callersFor = [&](double demand) {
    return static_cast<int>(demand * perSecond *
                            std::chrono::duration<double>(kJumpPeriod).count());
  };
  Callers callers(fleet, options.seed);
  callers.add(callersFor(kDemand), kJumpPeriod, body);
  Replacements replacements(fleet);
  std::mt19937 random(options.seed);
  const auto start = Clock::now();
  const auto length = std::chrono::seconds(options.seconds);
  std::size_t fallsBefore = 0;
  bool jumped = false;
  while (Clock::now() < start + length) {
    const double progress = std::chrono::duration<double>(Clock::now() - start) / length;
    replacements.update(Clock::now());
    if (!jumped && progress >= kJumpAt) {
      fallsBefore = replacements.crashed();
      callers.add(callersFor(kDemandAfterJump - kDemand), kJumpPeriod, body);
      jumped = true;
    }
    if (random() % kDisturbanceTurns == 0) {
      const std::size_t index = random() % fleet.daemons().size();
      fleet.kill(index);
      fleet.startDaemon(index);
    }
    std::this_thread::sleep_for(kTurn);
  }
  callers.stop();
  replacements.update(Clock::now());
  std::cout << fallsBefore << " replicas crashed before the jump\n";
  const double capacity = perSecond * std::chrono::duration<double>(length).count();
  return checkRun(fleet, callers, replacements.crashed(), capacity, kMostJumpFalls);
}

}  // namespace Soak
