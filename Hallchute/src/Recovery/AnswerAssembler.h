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

/// \brief What became of a chunk.
/// \ingroup Recovery
enum class ChunkResult {
  /// It is the next token.
  appended,
  /// It is the end mark and the answer is whole.
  finished,
  /// It is of another attempt.
  otherEpoch,
  /// It was taken before.
  duplicate,
  /// Tokens before it are missing: this attempt's stream can't be used any more.
  gap,
};

/// \brief Puts an answer together across attempts.
/// \ingroup Recovery
///
/// An answer is finished by its end mark only. Chunks of another epoch than the current one are
/// never taken, whenever they come. Cost: constant per chunk.
class AnswerAssembler {
 public:
  /// \brief Starts the next attempt; chunks of earlier ones no longer count.
  /// \returns the new epoch.
  std::uint64_t beginAttempt();
  /// \brief Starts again with what another daemon had assembled.
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
