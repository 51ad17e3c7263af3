// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "bench/policy/EngineFake.h"

#include <algorithm>

namespace Bench {

EngineFake::EngineFake(EngineParameters parameters)
    : parameters_(parameters), cache_(parameters.memoryTokens) {}

void EngineFake::pinMemory() {
  std::size_t pinned = 0;
  for (const auto& [id, running] : sequences_) {
    pinned += running.sequence.promptTokens + running.sequence.produced;
  }
  const std::size_t memory = parameters_.memoryTokens;
  cache_.setCapacity(memory > pinned ? memory - pinned : 0);
}

void EngineFake::add(Sequence sequence) {
  const std::size_t context = sequence.promptTokens + sequence.produced;
  const std::size_t cached =
      std::max(sequence.importedTokens, cache_.cachedTokens(sequence.hashes));
  const std::uint64_t id = sequence.id;
  const std::size_t toCompute = std::max<std::size_t>(1, context - std::min(context, cached));
  cache_.recordUse(sequence.hashes);
  sequences_[id] = {std::move(sequence), toCompute};
  prefilling_.push_back(id);
  pinMemory();
}

StepResult EngineFake::step(double nowMs) {
  StepResult result;
  std::size_t budget = parameters_.prefillPerStep;
  std::size_t prefilled = 0;
  std::size_t decoding = 0;
  std::vector<std::uint64_t> done;
  for (auto& [id, running] : sequences_) {
    if (running.toCompute == 0) {
      ++decoding;
      ++running.sequence.produced;
      result.tokens.push_back(id);
      if (running.sequence.produced >= running.sequence.outputTokens) done.push_back(id);
    }
  }
  while (!prefilling_.empty() && budget > 0) {
    Running& running = sequences_.at(prefilling_.front());
    const std::size_t now = std::min(budget, running.toCompute);
    running.toCompute -= now;
    budget -= now;
    prefilled += now;
    result.computed.emplace_back(prefilling_.front(), now);
    if (running.toCompute > 0) break;
    prefilling_.erase(prefilling_.begin());
  }
  result.endMs = nowMs + parameters_.stepMs +
                 parameters_.sequenceMs * static_cast<double>(decoding) +
                 parameters_.prefillMs * static_cast<double>(prefilled);
  for (const std::uint64_t id : done) {
    cache_.recordUse(sequences_.at(id).sequence.hashes);
    sequences_.erase(id);
    result.finished.push_back(id);
  }
  if (!done.empty()) pinMemory();
  return result;
}

std::size_t EngineFake::remove(std::uint64_t id) {
  const std::size_t produced = sequences_.at(id).sequence.produced;
  sequences_.erase(id);
  std::erase(prefilling_, id);
  pinMemory();
  return produced;
}

std::vector<std::uint64_t> EngineFake::running() const {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, running] : sequences_) ids.push_back(id);
  return ids;
}

}  // namespace Bench
