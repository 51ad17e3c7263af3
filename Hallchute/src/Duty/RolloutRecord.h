// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DUTY_ROLLOUTRECORD_H
#define HALLCHUTE_DUTY_ROLLOUTRECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/RolloutStage.h"

namespace Hallchute {

/// \brief The states of a rollout that operators see. \ingroup Duty
enum class RolloutState { running, done, rolledBack };

/// \brief A rollout's state as written into the operator's object. \ingroup Duty
struct RolloutStatus {
  RolloutState state = RolloutState::running;
  SoftwareVersion target;
  bool operator==(const RolloutStatus&) const = default;
};

/// \brief An operator's order, as read from its object. \ingroup Duty
struct RolloutOrder {
  /// The object's name.
  std::string name;
  ServiceName service;
  SoftwareVersion target;
  Millis duration{0};
  /// The object's revision, under which its status is written.
  std::uint64_t revision = 0;
  /// Nothing if none was written, or for another target.
  std::optional<RolloutStatus> status;
  bool operator==(const RolloutOrder&) const = default;
};

/// \brief The state of a rollout in the record of the duties, from which a successor continues.
/// \ingroup Duty
struct RolloutRecord {
  std::string name;
  ServiceName service;
  SoftwareVersion target;
  std::vector<SoftwareVersion> previous;
  /// See RolloutStage.
  std::uint64_t order = 0;
  /// When the order was first seen, on the fleet's shared clock.
  Millis orderedAt{0};
  Millis duration{0};
  RolloutPhase phase = RolloutPhase::canary;
  double share = 0;
  std::uint32_t step = 0;
  bool operator==(const RolloutRecord&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DUTY_ROLLOUTRECORD_H
