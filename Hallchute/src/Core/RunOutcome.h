// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_RUNOUTCOME_H
#define HALLCHUTE_CORE_RUNOUTCOME_H

#include <string_view>

namespace Hallchute {

/// \brief Whether the work of a request was executed, as reported with an error answer.
/// \ingroup Core
enum class RunOutcome { notRun, unknown, ran };

/// \brief The value of the `Hallchute-Outcome` header for \p outcome.
/// \ingroup Core
constexpr std::string_view outcomeName(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::notRun:
      return "not-run";
    case RunOutcome::unknown:
      return "unknown";
    case RunOutcome::ran:
      return "ran";
  }
  return "unknown";
}

}  // namespace Hallchute

#endif  // HALLCHUTE_CORE_RUNOUTCOME_H
