// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Recovery/AnswerAssembler.h"

namespace Hallchute {

std::uint64_t AnswerAssembler::beginAttempt() {
  return ++epoch_;
}

void AnswerAssembler::restore(std::uint64_t epoch, std::vector<std::string> tokens) {
  epoch_ = epoch;
  tokens_ = std::move(tokens);
  finished_ = false;
}

ChunkResult AnswerAssembler::accept(const AnswerChunk& chunk) {
  if (chunk.epoch != epoch_ || finished_) {
    ++dropped_;
    return ChunkResult::otherEpoch;
  }
  if (chunk.offset > tokens_.size()) return ChunkResult::gap;
  if (chunk.end) {
    if (chunk.offset < tokens_.size()) return ChunkResult::gap;
    finished_ = true;
    return ChunkResult::finished;
  }
  if (chunk.offset < tokens_.size()) {
    ++dropped_;
    return ChunkResult::duplicate;
  }
  tokens_.push_back(chunk.token);
  return ChunkResult::appended;
}

std::string AnswerAssembler::textFrom(std::size_t offset) const {
  std::string text;
  for (std::size_t i = offset; i < tokens_.size(); ++i) text += tokens_[i];
  return text;
}

}  // namespace Hallchute
