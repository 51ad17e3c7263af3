// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/StopSoak.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/str_cat.h>
#include <signal.h>

#include <algorithm>
#include <iostream>
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

constexpr int kReplicas = 6;
constexpr Millis kWorkTime{100};
constexpr Millis kTurn{20};
constexpr unsigned kRunTimeMs = 3'000;
constexpr unsigned kSuspensionMs = 1'000;
/// The grace period of the daemons' settings, and time for a busy machine and a suspension.
constexpr Millis kStopLimit{20'000};
constexpr unsigned kReloadTurns = 10;
constexpr unsigned kStoreTurns = 100;
constexpr std::size_t kHeldConnections = 40;
const Poco::Timespan kConnectTimeout(0, 200'000);

std::string body(std::uint64_t number) {
  return absl::StrCat("unique", number);
}

/// A connection with part of a request that stays open; none if the daemon doesn't listen.
std::optional<Poco::Net::StreamSocket> hold(const GatewayProcess& daemon) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(daemon.callers), kConnectTimeout);
    const std::string part = "POST /run/held HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 9";
    socket.sendBytes(part.data(), static_cast<int>(part.size()));
    return socket;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

/// One daemon's turns: it listens, is stopped, killed or suspended after a while, and starts again.
class Turns {
 public:
  Turns(GatewayFleet& fleet, std::size_t index, unsigned seed)
      : fleet_(fleet), index_(index), random_(seed) {}

  void turn(Clock::time_point now) {
    if (stopSince_) {
      awaitEnd(now);
    } else if (!actAt_) {
      // A signal before it listens is not this run's matter.
      if (hold(fleet_.daemons()[index_])) actAt_ = now + Millis(random_() % kRunTimeMs);
    } else if (now >= *actAt_) {
      act(now);
    }
    if (actAt_ && random_() % kReloadTurns == 0) signal(SIGHUP);
    if (resumeAt_ && now >= *resumeAt_) resume();
  }
  /// Ends its suspension, so that a stop can end.
  void resume() {
    if (resumeAt_) fleet_.resume(index_);
    resumeAt_.reset();
  }
  bool stopping() const { return stopSince_.has_value(); }
  int stops = 0;
  int kills = 0;
  int overdue = 0;
  Millis longest{};

 private:
  void signal(int number) { fleet_.daemons()[index_].process->signal(number); }
  void act(Clock::time_point now) {
    const unsigned choice = random_() % 8;
    if (choice == 0) {
      ++kills;
      fleet_.kill(index_);
      restart();
      return;
    }
    if (choice < 3) {
      fleet_.suspend(index_);
      resumeAt_ = now + Millis(random_() % kSuspensionMs);
    }
    fleet_.stop(index_);
    // A second stop and a reload may come at the same time.
    if (choice % 2 == 0) signal(SIGTERM);
    stopSince_ = now;
  }
  void awaitEnd(Clock::time_point now) {
    const auto waited = std::chrono::duration_cast<Millis>(now - *stopSince_);
    if (fleet_.stopped(index_)) {
      ++stops;
      longest = std::max(longest, waited);
      restart();
    } else if (waited > kStopLimit) {
      ++overdue;
      fleet_.kill(index_);
      restart();
    }
  }
  void restart() {
    stopSince_.reset();
    actAt_.reset();
    resumeAt_.reset();
    fleet_.startDaemon(index_);
  }

  GatewayFleet& fleet_;
  std::size_t index_;
  std::mt19937 random_;
  std::optional<Clock::time_point> actAt_;
  std::optional<Clock::time_point> resumeAt_;
  std::optional<Clock::time_point> stopSince_;
};

}  // namespace

bool runStopSoak(const SoakOptions& options) {
  GatewayFleet fleet(options.binaries, options.work, options.daemons);
  for (int i = 0; i < kReplicas; ++i) fleet.addReplica(kWorkTime);
  if (options.unread) fleet.leaveOutputUnread();
  fleet.start();
  Callers callers(fleet, options.seed);
  callers.add(12, Millis(40), body);
  std::mt19937 random(options.seed);
  std::vector<Turns> daemons;
  for (std::size_t i = 0; i < fleet.daemons().size(); ++i) daemons.emplace_back(fleet, i, random());
  std::vector<std::optional<Poco::Net::StreamSocket>> held(kHeldConnections);
  bool storeAway = false;
  const auto end = Clock::now() + std::chrono::seconds(options.seconds);
  while (Clock::now() < end) {
    for (Turns& daemon : daemons) daemon.turn(Clock::now());
    if (random() % kStoreTurns == 0) fleet.setStoreAway(storeAway = !storeAway);
    held[random() % held.size()] = hold(fleet.daemons()[random() % daemons.size()]);
    std::this_thread::sleep_for(kTurn);
  }
  for (Turns& daemon : daemons) {
    daemon.resume();
    while (daemon.stopping()) {
      daemon.turn(Clock::now());
      std::this_thread::sleep_for(kTurn);
    }
  }
  callers.stop();
  int stops = 0;
  int kills = 0;
  int overdue = 0;
  Millis longest{};
  for (const Turns& daemon : daemons) {
    stops += daemon.stops;
    kills += daemon.kills;
    overdue += daemon.overdue;
    longest = std::max(longest, daemon.longest);
  }
  const std::vector<Attempt> attempts = callers.attempts();
  const auto served = std::count_if(attempts.begin(), attempts.end(),
                                    [](const Attempt& attempt) { return attempt.status == 200; });
  std::cout << stops << " stops, the longest took " << longest.count() << " ms; " << overdue
            << " did not end; " << kills << " kills; " << served << " of " << attempts.size()
            << " requests served\n";
  return fleet.noneEndedByItself() && overdue == 0 && stops > 0;
}

}  // namespace Soak
