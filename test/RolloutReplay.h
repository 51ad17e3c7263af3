// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_ROLLOUTREPLAY_H
#define HALLCHUTE_TEST_ROLLOUTREPLAY_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "Hallchute/Duty"
#include "Hallchute/Gateway"
#include "SimulatedFleet.h"

namespace Hallchute {

/// \brief What is wrong with the target version.
struct ReplayedFault {
  /// Part of the answers; 0: it is good.
  double part = 0;
  /// Answers come five times later instead of failing.
  bool slow = false;
  /// Time from the order.
  int fromMs = 0;
  /// The only route that it shows on.
  std::optional<int> route;
  /// Requests in flight at an upstream from which it shows.
  int fromLoad = 0;
};

/// \brief What happens to the fleet and the store. Times in ms from the order; -1: never.
struct ReplayedEvents {
  int storeDownFrom = -1;
  int storeDownTo = -1;
  int holderKilledAt = -1;
  int deletedAt = -1;
  int retargetedAt = -1;
  /// The answer to the first write of a final status is lost.
  bool answerLost = false;
  /// A holder that was replaced goes on under its old epoch.
  bool oldHolderGoesOn = false;
};

/// \brief A rollout of one service in virtual time: daemons with their shares and reports, a holder
/// with the plan, a store, and upstreams of two versions.
class RolloutReplay {
 public:
  static constexpr int kDurationMs = 15'000;
  static constexpr int kRatePerSecond = 600;

  RolloutReplay(int daemons, ReplayedFault fault, ReplayedEvents events);
  void run();

  /// The state in the operator's object and when it got it, from the order; nothing if it has none.
  std::optional<RolloutState> state() const { return state_; }
  int stateMs() const { return stateMs_; }
  /// Requests of the service, and those that the target got, between order and limit.
  std::uint64_t requests() const { return requests_; }
  std::uint64_t exposed() const { return exposed_; }
  int fiftiethBadMs() const { return fiftiethBadMs_; }
  int lastSentMs() const { return lastSentMs_; }
  /// Requests in flight at previous upstreams when the status became done.
  int brokenOff() const { return brokenOff_; }
  /// Requests that no upstream could be had for.
  std::uint64_t refused() const { return refused_; }

 private:
  struct Flight {
    int firstMs = 0;
    int endMs = 0;
    int daemon = 0;
    int upstream = 0;
    int route = 0;
    bool failed = false;
    int firstEventMs = 0;
    bool operator<(const Flight& other) const { return endMs > other.endMs; }
  };

  void list(int ms);
  void send(int ms);
  int pick(const VersionExclusion& exclusion, std::uint64_t draw, int ms) const;
  void dispatch(int daemon, int upstream, int route, int ms);
  void complete(int ms);
  void report(int daemon, int ms);
  void hold(int daemon, RolloutPlan& plan, std::uint64_t epoch, FleetReport& report, int ms);
  RolloutFacts factsOf(int daemon, int ms);
  void callStore(int ms);
  void changeOrder(int ms);
  void handOver(int ms);
  bool storeUp(int ms) const;
  SoftwareVersion versionOf(int upstream) const;
  double random();

  int daemons_;
  ReplayedFault fault_;
  ReplayedEvents events_;
  SimulatedFleet fleet_;
  std::vector<std::unique_ptr<VersionShares>> shares_;
  std::vector<UpstreamLoads> loads_;
  std::vector<UpstreamRecord> records_;
  std::vector<int> inFlight_;
  std::priority_queue<Flight> flights_;
  std::uint64_t seed_ = 42;
  std::uint64_t nextRequest_ = 0;

  int holder_ = 0;
  std::uint64_t epoch_ = 1;
  std::unique_ptr<RolloutPlan> plan_;
  std::unique_ptr<RolloutPlan> oldPlan_;
  std::optional<RolloutRecord> stored_;
  std::optional<RolloutOrder> order_;
  bool lostOnce_ = false;

  std::optional<RolloutState> state_;
  int stateMs_ = -1;
  std::uint64_t requests_ = 0;
  std::uint64_t exposed_ = 0;
  std::uint64_t bad_ = 0;
  std::uint64_t refused_ = 0;
  int fiftiethBadMs_ = -1;
  int lastSentMs_ = -1;
  int brokenOff_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_ROLLOUTREPLAY_H
