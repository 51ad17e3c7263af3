// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ROLLOUTSTAGE_H
#define HALLCHUTE_GATEWAY_ROLLOUTSTAGE_H

#include <cstdint>
#include <string_view>
#include <tuple>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The phases of a rollout. \ingroup Gateway
enum class RolloutPhase : std::uint8_t {
  /// A small share of the requests goes to few upstreams of the target version.
  canary,
  /// The share grows in steps.
  ramp,
  /// All requests go to the target version; requests in flight at the previous ones end.
  drain,
  /// The previous versions' upstreams may stop.
  done,
  /// The target version gets no requests.
  rolledBack,
};

/// \brief The name of a phase in logs and in the stored record. \ingroup Gateway
std::string_view describe(RolloutPhase phase);
/// \brief The phase of a name; `rolledBack` for an unknown one, which exposes no requests.
RolloutPhase parseRolloutPhase(std::string_view name);

/// \brief The stage of a service's rollout that is in force, as daemons report it. \ingroup Gateway
struct RolloutStage {
  ServiceName service;
  SoftwareVersion target;
  /// Versions that served before; empty: all others.
  std::vector<SoftwareVersion> previous;
  /// Identifies the operator's order; increases with each order for a service.
  std::uint64_t order = 0;
  RolloutPhase phase = RolloutPhase::canary;
  /// Fraction of the requests that goes to the target version.
  double share = 0;
  /// Fencing token of the holder that set the stage.
  std::uint64_t epoch = 0;
  /// Increases with each change of the stage.
  std::uint32_t step = 0;
  /// Time since the holder last confirmed the stage.
  Millis age{0};

  /// \brief Whether this stage replaces \p other: the later holder wins, then the later order and
  /// step.
  bool isNewerThan(const RolloutStage& other) const {
    return std::tie(epoch, order, step) > std::tie(other.epoch, other.order, other.step);
  }
  bool ended() const { return phase == RolloutPhase::done || phase == RolloutPhase::rolledBack; }
  bool operator==(const RolloutStage&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ROLLOUTSTAGE_H
