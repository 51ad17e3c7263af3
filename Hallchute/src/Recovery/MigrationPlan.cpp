// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Recovery/MigrationPlan.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// A stream stays in place only if it is expected to finish within this fraction of the time left.
constexpr double kFinishFraction = 0.8;
/// Covers the round trips of export and import, which add to the transfer itself.
constexpr double kMoveOverheadSeconds = 0.05;

double seconds(Millis time) {
  return static_cast<double>(time.count()) / 1000.0;
}

bool canFinishInTime(const RunningStream& stream, double left) {
  if (stream.tokensPerSecond <= 0) return false;
  const double needed = static_cast<double>(stream.remainingTokens) / stream.tokensPerSecond;
  return needed <= left * kFinishFraction;
}

double recomputeCost(const RunningStream& stream) {
  return static_cast<double>(stream.contextTokens) * stream.weight;
}

}  // namespace

std::vector<StreamMigration> planMigrations(std::span<const RunningStream> streams,
                                            const LeaveWindow& window) {
  std::vector<StreamMigration> plan;
  std::vector<const RunningStream*> migrating;
  const double left = seconds(window.left);
  for (const RunningStream& stream : streams) {
    if (canFinishInTime(stream, left)) {
      plan.push_back({stream.stream, FinishInPlace{}});
    } else {
      migrating.push_back(&stream);
    }
  }
  std::stable_sort(migrating.begin(), migrating.end(), [](const auto* a, const auto* b) {
    return recomputeCost(*a) > recomputeCost(*b);
  });
  double used = 0;
  for (const RunningStream* stream : migrating) {
    const double rate = window.transferTokensPerSecond;
    const double needed =
        rate > 0 ? kMoveOverheadSeconds + static_cast<double>(stream->contextTokens) / rate : 0;
    if (rate > 0 && used + needed <= left) {
      used += needed;
      plan.push_back({stream->stream, MoveCache{}});
    } else {
      plan.push_back({stream->stream, Recompute{}});
    }
  }
  return plan;
}

}  // namespace Hallchute
