// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_BENCH_POLICY_WORKLOAD_H
#define HALLCHUTE_BENCH_POLICY_WORKLOAD_H

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Finding.h"

namespace Bench {

/// \brief One stream of sessions of a workload; bench/workloads holds them as JSON.
struct StreamSpec {
  std::string workClass;
  std::string organisation;
  std::int64_t priority = 5;
  double firstTokenMs = 1'900;
  double gapMs = 32;
  double sessionsPerSecond = 1;
  int turns = 1;
  double thinkMs = 0;
  std::size_t sharedTokens = 0;
  std::size_t sharedGroups = 1;
  std::size_t ownTokens = 0;
  std::size_t growthTokens = 0;
  std::size_t outputTokens = 0;
};

/// \brief A workload as specified in its file.
struct Workload {
  std::string name;
  std::vector<StreamSpec> streams;
};

/// \brief Reads a workload; errors are added with their locations.
Workload readWorkload(const std::string& path, Hallchute::Findings& findings);

/// \brief A session of requests whose prompts grow.
struct Session {
  std::uint64_t id = 0;
  const StreamSpec* spec = nullptr;
  std::size_t group = 0;
  int turn = 0;
  double startMs = 0;

  std::size_t promptTokens() const;
  /// \brief The chained block hashes of the present prompt: shared ones first, then its own.
  std::vector<std::uint64_t> hashes() const;
};

/// \brief The sessions that start within \p lengthMs: Poisson arrivals, from the seed.
std::vector<Session> makeSessions(const Workload& workload, double lengthMs, double scale,
                                  std::mt19937_64& random);

}  // namespace Bench

#endif  // HALLCHUTE_BENCH_POLICY_WORKLOAD_H
