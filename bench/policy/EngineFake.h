// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_BENCH_POLICY_ENGINEFAKE_H
#define HALLCHUTE_BENCH_POLICY_ENGINEFAKE_H

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "Hallchute/src/Routing/PrefixIndex.h"

namespace Bench {

/// \brief A model of an engine with continuous batching.
///
/// A step gives each decoding sequence a token and computes part of the waiting prompts:
/// `stepMs + sequenceMs * decoding + prefillMs * prompt tokens`. Decoding slows as the batch grows,
/// and long prompts slow the tokens of all sequences, as on a real accelerator. Running sequences
/// pin their part of the cache memory (the defaults are those of a mid-range accelerator: 16,000
/// prompt tokens a second, memory for 160,000); the rest caches prefixes, evicting the least
/// recently used first.
struct EngineParameters {
  double stepMs = 12;
  double sequenceMs = 0.3;
  double prefillMs = 0.06;
  std::size_t prefillPerStep = 192;
  std::size_t memoryTokens = 160'000;
};

/// \brief A request at an engine.
struct Sequence {
  std::uint64_t id = 0;
  std::vector<std::uint64_t> hashes;
  std::size_t promptTokens = 0;
  std::size_t outputTokens = 0;
  /// Tokens already produced by another engine.
  std::size_t produced = 0;
  /// Context that was imported with it and need not be computed.
  std::size_t importedTokens = 0;
};

/// \brief The result of a step.
struct StepResult {
  double endMs = 0;
  std::vector<std::uint64_t> tokens;
  std::vector<std::uint64_t> finished;
  /// Prompt tokens computed, by sequence.
  std::vector<std::pair<std::uint64_t, std::size_t>> computed;
};

/// \brief An engine in virtual time.
class EngineFake {
 public:
  explicit EngineFake(EngineParameters parameters);
  void add(Sequence sequence);
  bool idle() const { return sequences_.empty(); }
  StepResult step(double nowMs);
  /// \brief Removes a sequence. \returns the tokens it has produced.
  std::size_t remove(std::uint64_t id);
  std::vector<std::uint64_t> running() const;
  std::size_t producedOf(std::uint64_t id) const { return sequences_.at(id).sequence.produced; }

 private:
  struct Running {
    Sequence sequence;
    std::size_t toCompute = 0;
  };
  void pinMemory();

  EngineParameters parameters_;
  Hallchute::PrefixIndex cache_;
  std::map<std::uint64_t, Running> sequences_;
  std::vector<std::uint64_t> prefilling_;
};

}  // namespace Bench

#endif  // HALLCHUTE_BENCH_POLICY_ENGINEFAKE_H
