// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/VersionSoak.h"

#include <Poco/JSON/Array.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "test/soak/GatewayFleet.h"
#include "test/soak/SoakOptions.h"
#include "test/soak/StreamCallers.h"

namespace Soak {
namespace {

using Standin::CutKind;
using Standin::ReplicaStandin;

constexpr int kStreams = 24;
constexpr int kReplicas = 3;
constexpr Millis kWorkTime{30};
constexpr Millis kTurn{100};
/// A release adds a replica each time, then takes those of another version away.
constexpr Millis kReleaseStep{600};
constexpr std::size_t kMaxReplicas = 8;
constexpr unsigned kDisturbanceTurns = 8;
constexpr Millis kStoreOutage{1'500};
constexpr Millis kCutTime{2'000};
/// From the end of an entry to the end of its replica.
constexpr Millis kDrainTime{1'500};
constexpr Millis kEntryLapse{1'000};
constexpr std::size_t kFewestResumed = 12;
constexpr double kResumedPart = 0.5;
/// Of the attempts to begin a stream at daemons in contact.
constexpr double kBegunPart = 0.5;
constexpr Millis kMaxStaleness{3'000};
constexpr Millis kSuspension{2'000};
constexpr Millis kStoreCut{2'000};
/// Daemons are up again, and their callers back, so long after a kill of all.
constexpr Millis kRestartTime{3'000};
constexpr Millis kKillOfAllPause{6'000};
/// Streams that began so long before a kill of all are known after it.
constexpr Millis kRecordingTime{500};
constexpr std::size_t kForeignDepth = 200;
/// A replica serves as the daemons see it from so long after its start to so long before its end.
constexpr Millis kListingLag{1'000};

struct KillOfAll {
  Clock::time_point at;
  /// Whether the store was away shortly before it.
  bool storeAway = false;
};

/// Releases versions one after another and disturbs daemons, replicas and the store at random.
class Operator {
 public:
  Operator(GatewayFleet& fleet, unsigned seed) : fleet_(fleet), random_(seed) {
    for (int i = 0; i < kReplicas; ++i) fleet_.addReplica(kWorkTime, version(0));
  }

  void turn(Clock::time_point now) {
    if (now >= storeBackAt_) fleet_.setStoreAway(false);
    if (isCut_ && now >= healsAt_) cut({}, now);
    healStore(now);
    resume(now);
    endReplicas(now);
    if (now >= nextRelease_) release(now);
    if (random_() % kDisturbanceTurns == 0) disturb(now);
  }

  /// Ends what would keep daemons from ending.
  void end() { resume(Clock::time_point::max()); }
  const std::vector<KillOfAll>& killsOfAll() const { return killsOfAll_; }

 private:
  static std::string version(unsigned number) { return absl::StrCat("v", number); }

  std::vector<ReplicaStandin*> serving() const {
    std::vector<ReplicaStandin*> replicas;
    for (const auto& replica : fleet_.replicas()) {
      if (!replica->crashed() && !leaving_.contains(replica->id())) replicas.push_back(&*replica);
    }
    return replicas;
  }
  /// Adds a replica of one of three versions, or lets one leave; a version may keep one only, and
  /// may come back.
  void release(Clock::time_point now) {
    nextRelease_ = now + kReleaseStep;
    const std::vector<ReplicaStandin*> replicas = serving();
    if (replicas.size() < kMaxReplicas) {
      fleet_.addReplica(kWorkTime, version(random_() % 3));
      return;
    }
    const ReplicaStandin& replica = *replicas[random_() % replicas.size()];
    fleet_.unlist(replica);
    leaving_[replica.id()] = now;
  }
  void endReplicas(Clock::time_point now) {
    for (const auto& replica : fleet_.replicas()) {
      const auto left = leaving_.find(replica->id());
      if (left != leaving_.end() && now >= left->second + kDrainTime) replica->crash();
      const bool lapses = replica->crashed() && left == leaving_.end();
      if (lapses && now >= replica->crashedAt() + kEntryLapse) {
        fleet_.unlist(*replica);
        leaving_[replica->id()] = now;
      }
    }
  }
  void disturb(Clock::time_point now) {
    const std::size_t index = random_() % fleet_.daemons().size();
    switch (random_() % 9) {
      case 0:
        fleet_.setStoreAway(true);
        storeBackAt_ = now + kStoreOutage;
        return;
      case 1:
        if (!isCut_) cut({fleet_.daemons()[index].ip}, now);
        return;
      case 2:
        if (serving().size() > kReplicas) serving()[random_() % serving().size()]->crash();
        return;
      case 3:
        if (now >= nextKillOfAll_) killAll(now);
        return;
      case 4:
        if (suspended_) return;
        fleet_.suspend(index);
        suspended_ = index;
        resumesAt_ = now + kSuspension;
        return;
      case 5:
        if (cutFromStore_) return;
        fleet_.cutFromStore(index, true);
        fleet_.noteDisturbed(index);
        cutFromStore_ = index;
        storeHealsAt_ = now + kStoreCut;
        return;
      case 6:
        toggleForeignEntry();
        return;
      default:
        if (suspended_ == index) return;
        fleet_.kill(index);
        fleet_.startDaemon(index);
    }
  }
  /// Also of those that stand still. The store's copies may be from before the last release.
  void killAll(Clock::time_point now) {
    resume(Clock::time_point::max());
    fleet_.setStoreStaleness(Millis(random_() % kMaxStaleness.count()));
    for (std::size_t i = 0; i < fleet_.daemons().size(); ++i) fleet_.kill(i);
    killsOfAll_.push_back({now, now < storeBackAt_ + kRecordingTime});
    for (std::size_t i = 0; i < fleet_.daemons().size(); ++i) fleet_.startDaemon(i);
    nextKillOfAll_ = now + kKillOfAllPause;
  }
  void resume(Clock::time_point now) {
    if (!suspended_ || now < resumesAt_) return;
    fleet_.resume(*suspended_);
    suspended_.reset();
  }
  void healStore(Clock::time_point now) {
    if (!cutFromStore_ || now < storeHealsAt_) return;
    fleet_.cutFromStore(*cutFromStore_, false);
    fleet_.noteDisturbed(*cutFromStore_);
    cutFromStore_.reset();
  }
  void toggleForeignEntry() {
    if (std::exchange(foreignListed_, !foreignListed_)) {
      fleet_.unlistForeignEntry();
      return;
    }
    Poco::Dynamic::Var nested = 1;
    for (std::size_t i = 0; i < kForeignDepth; ++i) {
      Poco::JSON::Array::Ptr outer = new Poco::JSON::Array;
      outer->add(nested);
      nested = outer;
    }
    Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
    entry->set("service", nested);
    fleet_.listForeignEntry(entry);
  }
  void cut(const std::set<std::string>& daemons, Clock::time_point now) {
    const CutKind kind = random_() % 2 == 0 ? CutKind::hang : CutKind::reset;
    for (const auto& replica : fleet_.replicas()) replica->cutOff(daemons, kind);
    isCut_ = !daemons.empty();
    healsAt_ = now + kCutTime;
  }

  GatewayFleet& fleet_;
  std::mt19937 random_;
  std::map<std::string, Clock::time_point> leaving_;
  Clock::time_point nextRelease_{};
  Clock::time_point storeBackAt_{};
  Clock::time_point healsAt_{};
  bool isCut_ = false;
  std::vector<KillOfAll> killsOfAll_;
  Clock::time_point nextKillOfAll_{};
  std::optional<std::size_t> suspended_;
  Clock::time_point resumesAt_{};
  std::optional<std::size_t> cutFromStore_;
  Clock::time_point storeHealsAt_{};
  bool foreignListed_ = false;
};

std::size_t replicasServing(const GatewayFleet& fleet, const std::string& version,
                            Clock::time_point at) {
  const auto serves = [&](const auto& replica) {
    return replica->version() == version && at >= replica->startedAt() + kListingLag &&
           (!replica->crashed() || at < replica->crashedAt() - kDrainTime - kListingLag);
  };
  return static_cast<std::size_t>(
      std::count_if(fleet.replicas().begin(), fleet.replicas().end(), serves));
}

/// Whether a stream was under way at a kill of all daemons and couldn't be recorded before: it
/// began too shortly before it, or the store was away.
bool couldNotBeRecorded(const CallerStream& stream, const std::vector<KillOfAll>& kills) {
  return std::any_of(kills.begin(), kills.end(), [&](const KillOfAll& kill) {
    const bool underWay = stream.beganAt < kill.at && stream.attempts.back().at >= kill.at;
    return underWay && (kill.storeAway || stream.beganAt + kRecordingTime >= kill.at);
  });
}

bool keepsVersions(const std::vector<CallerStream>& streams) {
  int mixed = 0;
  int broken = 0;
  for (const CallerStream& stream : streams) {
    const std::set<std::string> versions(stream.versions.begin(), stream.versions.end());
    if (versions.size() > 1) ++mixed;
    if (stream.broken) ++broken;
  }
  std::cout << streams.size() << " streams, " << mixed << " of several versions, " << broken
            << " broken\n";
  return mixed == 0 && broken == 0;
}

/// What came of attempts; those of one caller count together until one brings an event, as a caller
/// comes back many times for what is refused.
struct Share {
  std::size_t all = 0;
  std::size_t brought = 0;

  void add(bool brings) {
    ++all;
    if (brings) ++brought;
  }
  double value() const { return static_cast<double>(brought) / static_cast<double>(all); }
};

bool resumesStreams(const GatewayFleet& fleet, const std::vector<CallerStream>& streams,
                    const std::vector<std::string>& ips, const std::vector<KillOfAll>& kills) {
  Share begun;
  Share resumed;
  for (const CallerStream& stream : streams) {
    if (couldNotBeRecorded(stream, kills)) continue;
    std::optional<bool> pending;
    const auto count = [&](const StreamAttempt& attempt) {
      Share& share = attempt.resumedVersion.empty() ? begun : resumed;
      if (pending) share.add(*pending);
      pending.reset();
    };
    for (const StreamAttempt& attempt : stream.attempts) {
      const bool counts = fleet.inContact(ips[attempt.daemon], attempt.at) &&
                          (attempt.resumedVersion.empty() ||
                           replicasServing(fleet, attempt.resumedVersion, attempt.at) >= 2);
      if (counts) pending = attempt.brought;
      if (attempt.brought) count(attempt);
    }
    if (!stream.attempts.empty()) count(stream.attempts.back());
  }
  std::cout << "at daemons in contact " << begun.brought << " of " << begun.all << " began, "
            << resumed.brought << " of " << resumed.all << " went on\n";
  if (begun.all == 0 || begun.value() < kBegunPart) return false;
  return resumed.all < kFewestResumed || resumed.value() >= kResumedPart * begun.value();
}

/// Whether enough of the streams that were under way at kills of all daemons went on after them.
bool streamsOutliveDaemons(const GatewayFleet& fleet, const std::vector<CallerStream>& streams,
                           const std::vector<KillOfAll>& kills) {
  std::size_t under = 0;
  std::size_t wentOn = 0;
  for (const KillOfAll& killed : kills) {
    const Clock::time_point kill = killed.at;
    for (const CallerStream& stream : streams) {
      const bool began = !stream.versions.empty() && stream.beganAt < kill;
      if (!began || stream.attempts.back().at < kill || couldNotBeRecorded(stream, kills)) continue;
      const std::string& version = stream.versions.front();
      const bool served = replicasServing(fleet, version, kill) >= 2 &&
                          replicasServing(fleet, version, kill + kRestartTime) >= 2;
      const bool brought =
          std::any_of(stream.attempts.begin(), stream.attempts.end(),
                      [&](const StreamAttempt& a) { return a.at >= kill && a.brought; });
      // Other callers gave up before the daemons were back.
      const bool cameBack = stream.attempts.back().at >= kill + kRestartTime / 2;
      if (!served || !(brought || cameBack)) continue;
      ++under;
      if (brought) ++wentOn;
    }
  }
  std::cout << kills.size() << " kills of all daemons, " << wentOn << " of " << under
            << " streams under way went on\n";
  const auto part = static_cast<double>(wentOn);
  return under < kFewestResumed || part >= kResumedPart * static_cast<double>(under);
}

}  // namespace

bool runVersionSoak(const SoakOptions& options) {
  GatewayFleet fleet(options.binaries, options.work, options.daemons);
  Operator op(fleet, options.seed);
  fleet.start();
  std::vector<std::string> ips;
  for (const GatewayProcess& daemon : fleet.daemons()) ips.push_back(daemon.ip);
  StreamCallers callers(fleet, options.seed);
  callers.add(kStreams);
  const auto end = Clock::now() + std::chrono::seconds(options.seconds);
  for (auto now = Clock::now(); now < end; now = Clock::now()) {
    op.turn(now);
    std::this_thread::sleep_for(kTurn);
  }
  op.end();
  callers.stop();
  const std::vector<CallerStream> streams = callers.streams();
  bool kept = fleet.noneEndedByItself();
  kept = keepsVersions(streams) && kept;
  kept = streamsOutliveDaemons(fleet, streams, op.killsOfAll()) && kept;
  return resumesStreams(fleet, streams, ips, op.killsOfAll()) && kept;
}

}  // namespace Soak
