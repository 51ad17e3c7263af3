// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/BrittleSoak.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "test/soak/Callers.h"
#include "test/soak/GatewayFleet.h"
#include "test/soak/SoakOptions.h"

namespace Soak {
namespace {

constexpr Standin::BrittleRoom kRoom{6, 4, 10};

/// Replicas and callers of a run.
struct BrittlePlan {
  std::size_t replicas = 0;
  Millis workTime{0};
  Millis callerPeriod{0};
  /// When something happens besides the disturbances, of the run's length.
  double eventAt = 0;

  /// Requests a second that the replicas could do.
  double capacity() const {
    return static_cast<double>(replicas * kRoom.slots) /
           std::chrono::duration<double>(workTime).count();
  }
  /// Callers that ask for this part of the capacity.
  int callersFor(double demand) const {
    return static_cast<int>(demand * capacity() *
                            std::chrono::duration<double>(callerPeriod).count());
  }
  double mostFalls() const { return 2 + 0.1 * static_cast<double>(replicas); }
};

/// One replica crashes for another reason.
constexpr BrittlePlan kCrashPlan{4, Millis(200), Millis(100), 0.4};
/// As many as fill all slots and queues, half more, and return soon after a refusal.
constexpr int kCrashCallers = 60;
/// Short requests, and a jump of demand, as parts of the capacity.
constexpr BrittlePlan kJumpPlan{5, Millis(60), Millis(200), 0.5};
constexpr double kDemand = 0.6;
constexpr double kDemandAfterJump = 2;
constexpr Millis kTurn{100};
constexpr Millis kAway{3'000};
constexpr unsigned kDisturbanceTurns = 50;
/// Of what the replicas could do.
constexpr double kServed = 0.4;

std::string body(std::uint64_t number) {
  return absl::StrCat("unique", number);
}

/// Replaces replicas that have crashed after some time.
class Replacements {
 public:
  Replacements(GatewayFleet& fleet, Millis workTime) : fleet_(fleet), workTime_(workTime) {}
  void update(Clock::time_point now) {
    for (std::size_t i = 0; i < fleet_.replicas().size(); ++i) {
      const Standin::ReplicaStandin& replica = *fleet_.replicas()[i];
      if (!replica.crashed() || !crashed_.emplace(i, now).second) continue;
      fleet_.unlist(replica);
      due_.push_back(now + kAway);
    }
    while (!due_.empty() && due_.front() <= now) {
      fleet_.addReplica(workTime_, "1", kRoom);
      due_.erase(due_.begin());
    }
  }
  std::size_t crashed() const { return crashed_.size(); }

 private:
  GatewayFleet& fleet_;
  Millis workTime_;
  std::map<std::size_t, Clock::time_point> crashed_;
  std::vector<Clock::time_point> due_;
};

/// What an event of a plan changes.
struct BrittleRun {
  GatewayFleet& fleet;
  Callers& callers;
  const Replacements& replacements;
  std::mt19937& random;
};

/// \param event returns the number of replicas that it crashes itself.
/// \returns whether the falls, the answers and the daemons are as they should be.
template <typename Event>
bool run(const SoakOptions& options, const BrittlePlan& plan, int callerCount, Event event) {
  GatewayFleet fleet(options.binaries, options.work, options.daemons);
  for (std::size_t i = 0; i < plan.replicas; ++i) fleet.addReplica(plan.workTime, "1", kRoom);
  fleet.start();
  Callers callers(fleet, options.seed);
  callers.add(callerCount, plan.callerPeriod, body);
  Replacements replacements(fleet, plan.workTime);
  std::mt19937 random(options.seed);
  const auto start = Clock::now();
  const auto length = std::chrono::seconds(options.seconds);
  std::optional<std::size_t> crashedByEvent;
  while (Clock::now() < start + length) {
    const auto now = Clock::now();
    const double progress = std::chrono::duration<double>(now - start) / length;
    if (!crashedByEvent && progress >= plan.eventAt)
      crashedByEvent = event(BrittleRun{fleet, callers, replacements, random});
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
  const std::size_t falls = replacements.crashed() - crashedByEvent.value_or(0);
  const std::vector<Attempt> attempts = callers.attempts();
  const auto served = std::count_if(attempts.begin(), attempts.end(),
                                    [](const Attempt& attempt) { return attempt.status == 200; });
  const double share = static_cast<double>(served) /
                       (plan.capacity() * std::chrono::duration<double>(length).count());
  std::cout << falls << " replicas crashed under rejections; " << served << " of "
            << attempts.size() << " requests served, " << share << " of the capacity\n";
  const bool kept = fleet.noneEndedByItself();
  return kept && static_cast<double>(falls) <= plan.mostFalls() && share >= kServed;
}

}  // namespace

bool runBrittleSoak(const SoakOptions& options) {
  return run(options, kCrashPlan, kCrashCallers, [](const BrittleRun& run) {
    run.fleet.replicas()[run.random() % run.fleet.replicas().size()]->crash();
    return std::size_t{1};
  });
}

bool runJumpSoak(const SoakOptions& options) {
  return run(options, kJumpPlan, kJumpPlan.callersFor(kDemand), [](const BrittleRun& run) {
    std::cout << run.replacements.crashed() << " replicas crashed before the jump\n";
    run.callers.add(kJumpPlan.callersFor(kDemandAfterJump - kDemand), kJumpPlan.callerPeriod, body);
    return std::size_t{0};
  });
}

}  // namespace Soak
