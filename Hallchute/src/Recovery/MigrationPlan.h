// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RECOVERY_MIGRATIONPLAN_H
#define HALLCHUTE_RECOVERY_MIGRATIONPLAN_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The stream ends before its upstream does: leave it there.
/// \ingroup Recovery
struct FinishInPlace {};
/// \brief Export the cached tokens, import them elsewhere, go on there: nothing is recomputed.
/// \ingroup Recovery
struct MoveCache {};
/// \brief Go on elsewhere from the prompt and the tokens so far.
/// \ingroup Recovery
struct Recompute {};

/// \ingroup Recovery
using Migration = std::variant<FinishInPlace, MoveCache, Recompute>;

/// \brief A stream on an upstream that leaves.
/// \ingroup Recovery
struct RunningStream {
  std::uint64_t stream = 0;
  /// Prompt and answer so far: what a move carries and a recomputation computes again.
  std::size_t contextTokens = 0;
  /// The most that may still come.
  std::size_t remainingTokens = 0;
  double tokensPerSecond = 0;
  /// The class's weight: how much a recomputed token of it costs.
  double weight = 1;
};

/// \brief What the leaving upstream still allows.
/// \ingroup Recovery
struct LeaveWindow {
  /// Time until work must have left it, margin already taken off.
  Millis left{0};
  /// Speed of moving cached tokens off it, for all streams together; 0 forbids moves.
  double transferTokensPerSecond = 0;
};

/// \brief What to do with one stream.
/// \ingroup Recovery
struct StreamMigration {
  std::uint64_t stream = 0;
  Migration migration;
};

/// \brief Decides for all streams on one leaving upstream at once.
/// \ingroup Recovery
///
/// Streams that finish in time stay. The others share the transfer bandwidth in the order of what
/// their recomputation would cost (tokens times weight); those for which no time is left are
/// recomputed. \returns the moves in the order in which they should start. Cost: a sort.
std::vector<StreamMigration> planMigrations(std::span<const RunningStream> streams,
                                            const LeaveWindow& window);

}  // namespace Hallchute

#endif  // HALLCHUTE_RECOVERY_MIGRATIONPLAN_H
