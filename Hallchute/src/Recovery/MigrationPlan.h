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

/// \brief The stream finishes before its upstream leaves: do not migrate it.
/// \ingroup Recovery
struct FinishInPlace {};
/// \brief Transfer the cached tokens to another upstream and resume there, without recomputation.
/// \ingroup Recovery
struct MoveCache {};
/// \brief Resume on another upstream by recomputing the prompt and the tokens generated so far.
/// \ingroup Recovery
struct Recompute {};

/// \ingroup Recovery
using Migration = std::variant<FinishInPlace, MoveCache, Recompute>;

/// \brief A stream on a leaving upstream.
/// \ingroup Recovery
struct RunningStream {
  std::uint64_t stream = 0;
  /// Tokens of the prompt and the answer so far, to be transferred or recomputed.
  std::size_t contextTokens = 0;
  /// Upper bound of the tokens still to be generated.
  std::size_t remainingTokens = 0;
  double tokensPerSecond = 0;
  /// Relative cost of recomputing one token: 2 for durable jobs, 1 for others.
  double weight = 1;
};

/// \brief Time and bandwidth left on the leaving upstream.
/// \ingroup Recovery
struct LeaveWindow {
  /// Time until all work must have left the upstream, the safety margin already subtracted.
  Millis left{0};
  /// Transfer rate of cached tokens, shared by all streams; 0 disables cache transfers.
  double transferTokensPerSecond = 0;
};

/// \brief The planned migration of one stream.
/// \ingroup Recovery
struct StreamMigration {
  std::uint64_t stream = 0;
  Migration migration;
};

/// \brief Plans the migration of all streams on a leaving upstream.
/// \ingroup Recovery
///
/// Streams that finish in time stay. The others are transferred in descending order of their
/// recomputation cost (tokens times weight) as long as time is left; the rest are recomputed.
/// Complexity: O(n log n).
/// \returns the migrations in the order in which they should start.
std::vector<StreamMigration> planMigrations(std::span<const RunningStream> streams,
                                            const LeaveWindow& window);

}  // namespace Hallchute

#endif  // HALLCHUTE_RECOVERY_MIGRATIONPLAN_H
