// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_RUNOUTCOME_H
#define HALLCHUTE_CORE_RUNOUTCOME_H

#include <string_view>

namespace Hallchute {

/// \brief What a caller may conclude about the work behind an answer that is not a success.
/// \ingroup Core
enum class RunOutcome { notRun, unknown, ran };

/// \brief The word for \p outcome in the `Hallchute-Outcome` header.
/// \ingroup Core
constexpr std::string_view outcomeWord(RunOutcome outcome) {
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
