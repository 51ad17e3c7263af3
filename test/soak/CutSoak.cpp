// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/CutSoak.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "test/soak/Callers.h"
#include "test/soak/GatewayFleet.h"
#include "test/soak/SoakOptions.h"
#include "test/soak/StreamCallers.h"

namespace Soak {
namespace {

using Standin::CutKind;

constexpr int kReplicas = 6;
constexpr int kStreams = 6;
constexpr std::size_t kDomains = 3;
constexpr Millis kWorkTime{30};
constexpr Millis kTurn{100};
constexpr Millis kCutTime{6'500};
constexpr Millis kPause{1'500};
constexpr unsigned kDisturbanceTurns = 40;
constexpr Millis kStoreOutage{1'500};
constexpr Millis kSilence{1'000};
/// Callers of daemons that are cut off are served at least this often, as a part of the others.
constexpr double kServedPart = 2.0 / 3;
/// First attempts that may fail at daemons that are cut off: a constant, and one in so many of all.
constexpr double kFailedSlack = 10;
constexpr double kFailedFraction = 50;

std::string body(std::uint64_t number) {
  return absl::StrCat(number % 2 == 0 ? Callers::kOnceBody : "safe", number);
}

struct Cut {
  Clock::time_point from;
  Clock::time_point to;
  CutKind kind = CutKind::hang;
  std::set<std::size_t> daemons;
};

struct Count {
  double served = 0;
  double all = 0;
};

/// One daemon, most of a domain, or all of it.
std::set<std::size_t> drawDaemons(std::size_t daemons, std::mt19937& random) {
  const std::size_t domain = random() % kDomains;
  std::set<std::size_t> drawn;
  for (std::size_t i = domain; i < daemons; i += kDomains) drawn.insert(i);
  const unsigned how = random() % 3;
  if (how == 0) return {*drawn.begin()};
  if (how == 1 && drawn.size() > 1) drawn.erase(std::prev(drawn.end()));
  return drawn;
}

void apply(GatewayFleet& fleet, const std::set<std::size_t>& daemons, CutKind kind) {
  std::set<std::string> callers;
  for (const std::size_t index : daemons) callers.insert(fleet.daemons()[index].ip);
  for (const auto& replica : fleet.replicas()) replica->cutOff(callers, kind);
}

const char* describe(CutKind kind) {
  constexpr std::array kNames{"hang", "reset", "newConnections"};
  return kNames[static_cast<std::size_t>(kind)];
}

bool servedWell(GatewayFleet& fleet, const Cut& cut, const std::vector<Attempt>& attempts) {
  Count cutOff;
  Count others;
  for (const Attempt& attempt : attempts) {
    if (attempt.at < cut.from + GatewayFleet::kContact || attempt.at >= cut.to) continue;
    if (!fleet.inContact(fleet.daemons()[attempt.daemon].ip, attempt.at)) continue;
    Count& count = cut.daemons.contains(attempt.daemon) ? cutOff : others;
    ++count.all;
    if (attempt.status == 200) ++count.served;
  }
  const double failed = cutOff.all - cutOff.served;
  const bool asOften = cutOff.served * others.all >= kServedPart * others.served * cutOff.all;
  const bool few = failed <= kFailedSlack + (cutOff.all + others.all) / kFailedFraction;
  std::cout << describe(cut.kind) << ", " << cut.daemons.size() << " daemons: served "
            << cutOff.served << " of " << cutOff.all << ", the others " << others.served << " of "
            << others.all << "\n";
  return asOften || few;
}

bool keepsPromises(const GatewayFleet& fleet, const std::vector<Attempt>& attempts) {
  std::map<std::string, int> runs;
  for (const Standin::Arrival& arrival : fleet.arrivals()) ++runs[arrival.body];
  int broken = 0;
  for (const Attempt& attempt : attempts) {
    const bool once = absl::StartsWith(attempt.body, Callers::kOnceBody);
    if (once && runs[attempt.body] > 1) ++broken;
    if (attempt.status == 503 && runs[attempt.body] > 0) ++broken;
  }
  std::cout << broken << " requests ran twice, or though they were refused\n";
  return broken == 0;
}

/// Each stream holds the events of one run, or of runs that continue each other.
bool keepsStreams(const std::vector<CallerStream>& streams) {
  const auto broken = std::count_if(streams.begin(), streams.end(),
                                    [](const CallerStream& stream) { return stream.broken; });
  std::cout << streams.size() << " streams, " << broken << " with events out of order\n";
  return broken == 0 && !streams.empty();
}

/// Restarts daemons, takes the store away and lets replicas fall silent at random.
class Disturbances {
 public:
  Disturbances(GatewayFleet& fleet, std::mt19937& random) : fleet_(fleet), random_(random) {}
  void turn(Clock::time_point now) {
    if (now >= storeBackAt_) fleet_.setStoreAway(false);
    if (random_() % kDisturbanceTurns != 0) return;
    const unsigned what = random_() % 3;
    if (what == 0) {
      fleet_.setStoreAway(true);
      storeBackAt_ = now + kStoreOutage;
      return;
    }
    if (what == 1) {
      fleet_.replicas()[random_() % fleet_.replicas().size()]->fallSilent(kSilence);
      return;
    }
    const std::size_t index = random_() % fleet_.daemons().size();
    fleet_.kill(index);
    fleet_.startDaemon(index);
  }

 private:
  GatewayFleet& fleet_;
  std::mt19937& random_;
  Clock::time_point storeBackAt_{};
};

}  // namespace

bool runCutSoak(const SoakOptions& options) {
  GatewayFleet fleet(options.binaries, options.work, options.daemons);
  for (int i = 0; i < kReplicas; ++i) fleet.addReplica(kWorkTime);
  fleet.start();
  const auto end = Clock::now() + std::chrono::seconds(options.seconds);
  Callers callers(fleet, options.seed);
  callers.add(8, Millis(100), body);
  StreamCallers streamCallers(fleet, options.seed);
  streamCallers.add(kStreams);
  std::mt19937 random(options.seed);
  Disturbances disturbances(fleet, random);
  std::vector<Cut> cuts;
  Clock::time_point healed = Clock::now();
  for (auto now = Clock::now(); now < end; now = Clock::now()) {
    const bool isCut = !cuts.empty() && cuts.back().to > healed;
    if (isCut && now >= cuts.back().to) {
      apply(fleet, {}, CutKind::hang);
      healed = now;
    } else if (!isCut && now >= healed + kPause && now + kCutTime < end) {
      const auto kind = static_cast<CutKind>((options.seed + cuts.size()) % 3);
      cuts.push_back({now, now + kCutTime, kind, drawDaemons(fleet.daemons().size(), random)});
      apply(fleet, cuts.back().daemons, kind);
    }
    disturbances.turn(now);
    std::this_thread::sleep_for(kTurn);
  }
  callers.stop();
  streamCallers.stop();
  const std::vector<Attempt> attempts = callers.attempts();
  bool kept = fleet.noneEndedByItself();
  kept = keepsPromises(fleet, attempts) && kept;
  kept = keepsStreams(streamCallers.streams()) && kept;
  for (const Cut& cut : cuts) kept = servedWell(fleet, cut, attempts) && kept;
  return kept;
}

}  // namespace Soak
