// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DUTY_DUTYSTEP_H
#define HALLCHUTE_DUTY_DUTYSTEP_H

#include <cstdint>
#include <variant>

#include "Hallchute/src/Duty/DutyRecord.h"

namespace Hallchute {

/// \brief The next action that DutyStateMachine requests from its caller. \ingroup Duty
namespace DutySteps {

struct Nothing {};
/// Read the record.
struct Read {};
/// Create the record, as there is none.
struct Create {
  DutyRecord record;
};
/// Replace the record if it still has the revision that was read.
struct Write {
  DutyRecord record;
  std::uint64_t revision = 0;
};
/// Report a window whose counts are finalised.
struct SendUsage {
  std::uint64_t epoch = 0;
  std::int64_t window = 0;
  UsageCounts counts;
};

}  // namespace DutySteps

/// \ingroup Duty
using DutyStep = std::variant<DutySteps::Nothing, DutySteps::Read, DutySteps::Create,
                              DutySteps::Write, DutySteps::SendUsage>;

/// \brief The outcome of a step's call. \ingroup Duty
enum class DutyOutcome {
  done,
  /// Rejected: the record has another revision, or a higher epoch was used.
  superseded,
  /// The object doesn't exist.
  absent,
  /// The call was certainly not applied.
  unavailable,
  /// The call may have been applied, or may still be.
  unknown,
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DUTY_DUTYSTEP_H
