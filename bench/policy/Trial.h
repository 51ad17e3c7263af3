// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_BENCH_POLICY_TRIAL_H
#define HALLCHUTE_BENCH_POLICY_TRIAL_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "Hallchute/Admission"
#include "Hallchute/Recovery"
#include "Hallchute/src/Observability/DurationHistogram.h"
#include "bench/policy/EngineFake.h"
#include "bench/policy/Workload.h"

namespace Bench {

/// \brief One experiment: a workload, a pool of engines, a policy and the faults.
struct TrialSpec {
  const Workload* workload = nullptr;
  std::size_t engines = 10;
  EngineParameters engine;
  Hallchute::ShardPolicy policy;
  double lengthMs = 180'000;
  /// Results of requests before it do not count.
  double warmUpMs = 30'000;
  double scale = 1;
  std::uint64_t seed = 1;
  /// Engines that get a reclaim notice at waveAtMs and stop waveNoticeMs later.
  std::size_t waveEngines = 0;
  double waveAtMs = 90'000;
  double waveNoticeMs = 10'000;
  /// Whether work on leaving engines moves by planMigrations(), or is recomputed when they stop.
  bool plannedMoves = true;
  double transferTokensPerSecond = 200'000;
  /// Engines that refuse connections throughout.
  std::size_t brokenEngines = 0;
  bool retryBudget = true;
};

/// \brief The results of one work class.
struct ClassResult {
  std::size_t requests = 0;
  std::size_t refused = 0;
  std::size_t firstInTime = 0;
  std::size_t gaps = 0;
  std::size_t gapsInTime = 0;
  std::vector<double> firstTokenMs;

  double shareFirstInTime() const;
  double shareGapsInTime() const;
  double firstTokenQuantile(double q) const;
};

/// \brief The results of a trial.
struct TrialResult {
  std::map<std::string, ClassResult> classes;
  std::map<std::string, ClassResult> organisations;
  double tokensServed = 0;
  double tokensComputed = 0;
  /// Tokens computed that some engine had computed before.
  double tokensRecomputed = 0;
  double attempts = 0;
  double requests = 0;
  double refused = 0;
  double worstRefusalMs = 0;
  double perSecond = 0;

  double recomputedPerThousand() const;
  /// \brief Whether 95 in 100 first tokens and gaps of every class met their targets.
  bool meetsTargets() const;
};

/// \brief Runs one experiment in virtual time: one shard owner before a pool of engine fakes.
class Trial {
 public:
  explicit Trial(const TrialSpec& spec);
  TrialResult run();

 private:
  enum class What { arrive, step, tick, notice, death, retry };
  struct Event {
    double at;
    std::uint64_t order;
    What what;
    std::uint64_t subject;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Request {
    Session session;
    double arrivedMs = 0;
    double lastTokenMs = 0;
    std::size_t produced = 0;
    std::size_t imported = 0;
    std::optional<std::size_t> engine;
    bool started = false;
    bool prefilled = false;
    bool counts = false;
    int attempts = 0;
    std::vector<Hallchute::UpstreamId> failedUpstreams;
  };

  void schedule(double at, What what, std::uint64_t subject);
  void arrive(std::uint64_t session);
  void requestGrant(std::uint64_t id);
  void perform(const std::vector<Hallchute::GrantAction>& actions);
  void granted(const Hallchute::Granted& grant);
  void refused(std::uint64_t id);
  void step(std::size_t engine);
  void token(std::uint64_t id, double at);
  void finish(std::uint64_t id);
  void notice(std::size_t engine);
  void death(std::size_t engine);
  void moveAway(std::uint64_t id, std::size_t engine, bool withCache);
  void noteComputed(const Request& request, std::size_t tokens);
  ClassResult& classOf(const Request& request);
  Hallchute::Instant instant() const;
  static std::size_t indexOf(const Hallchute::UpstreamId& id);

  TrialSpec spec_;
  std::mt19937_64 random_;
  Hallchute::ShardOwner owner_;
  Hallchute::RetryBudget budget_;
  std::vector<EngineFake> engines_;
  std::vector<bool> stepping_;
  std::vector<bool> dead_;
  std::vector<Session> sessions_;
  std::map<std::uint64_t, Request> requests_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::unordered_set<std::uint64_t> everComputed_;
  std::uint64_t nextOrder_ = 0;
  std::uint64_t nextRequest_ = 1;
  double now_ = 0;
  TrialResult result_;
};

}  // namespace Bench

#endif  // HALLCHUTE_BENCH_POLICY_TRIAL_H
