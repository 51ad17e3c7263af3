// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RECOVERY_ANSWERCHUNK_H
#define HALLCHUTE_RECOVERY_ANSWERCHUNK_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace Hallchute {

/// \brief A part of an answer as sent by an engine.
/// \ingroup Recovery
struct AnswerChunk {
  /// The epoch of the attempt that it belongs to.
  std::uint64_t epoch = 0;
  /// The index of its token in the whole answer.
  std::size_t offset = 0;
  /// A single token; empty in the end mark.
  std::string token;
  /// The end mark: `offset` is then the length of the whole answer.
  bool end = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_RECOVERY_ANSWERCHUNK_H
