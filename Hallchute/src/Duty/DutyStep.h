// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DUTY_DUTYSTEP_H
#define HALLCHUTE_DUTY_DUTYSTEP_H

#include <cstdint>
#include <variant>

#include "Hallchute/src/Duty/DutyRecord.h"

namespace Hallchute {

/// \brief What a daemon does next about the duties; see DutyKeeper. \ingroup Duty
namespace DutySteps {

struct Nothing {};
/// Read the record.
struct Read {};
/// Make the record: there is none.
struct Create {
  DutyRecord record;
};
/// Replace the record under the revision that was read.
struct Write {
  DutyRecord record;
  std::uint64_t revision = 0;
};
/// Report a window whose counts are fixed.
struct SendUsage {
  std::uint64_t epoch = 0;
  std::int64_t window = 0;
  UsageCounts counts;
};

}  // namespace DutySteps

/// \ingroup Duty
using DutyStep = std::variant<DutySteps::Nothing, DutySteps::Read, DutySteps::Create,
                              DutySteps::Write, DutySteps::SendUsage>;

/// \brief How a step's call ended. \ingroup Duty
enum class DutyOutcome {
  done,
  /// Another revision, or another holder's epoch, was there first.
  superseded,
  /// There is no such object.
  absent,
  /// Nothing was done.
  unavailable,
  /// It may have been done, or may be done later.
  unknown,
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DUTY_DUTYSTEP_H
