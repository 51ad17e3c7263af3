// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RECOVERY_ANSWERASSEMBLER_H
#define HALLCHUTE_RECOVERY_ANSWERASSEMBLER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Hallchute/src/Recovery/AnswerChunk.h"

namespace Hallchute {

/// \brief The result of adding a chunk.
/// \ingroup Recovery
enum class ChunkResult {
  /// It was the next token and has been appended.
  appended,
  /// It was the end mark: the answer is complete.
  finished,
  /// It belongs to another attempt.
  otherEpoch,
  /// Its token was appended before.
  duplicate,
  /// Tokens before it are missing: the stream of this attempt is unusable.
  gap,
};

/// \brief Assembles an answer across attempts.
/// \ingroup Recovery
///
/// Only the end mark finishes an answer. Chunks of any other epoch than the current one are always
/// dropped. Constant time per chunk.
class AnswerAssembler {
 public:
  /// \brief Starts the next attempt; chunks of earlier attempts are dropped from now on.
  /// \returns the new epoch.
  std::uint64_t beginAttempt();
  /// \brief Resumes from the tokens that another daemon has assembled.
  void restore(std::uint64_t epoch, std::vector<std::string> tokens);
  ChunkResult accept(const AnswerChunk& chunk);

  std::uint64_t epoch() const { return epoch_; }
  const std::vector<std::string>& tokens() const { return tokens_; }
  bool finished() const { return finished_; }
  std::size_t dropped() const { return dropped_; }
  /// \brief The tokens from \p offset on, joined.
  std::string textFrom(std::size_t offset) const;

 private:
  std::uint64_t epoch_ = 0;
  std::vector<std::string> tokens_;
  bool finished_ = false;
  std::size_t dropped_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_RECOVERY_ANSWERASSEMBLER_H
