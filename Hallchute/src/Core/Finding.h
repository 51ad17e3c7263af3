// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_FINDING_H
#define HALLCHUTE_CORE_FINDING_H

#include <string>
#include <vector>

namespace Hallchute {

/// \brief One error in an input, with the JSON pointer to its location.
/// \ingroup Core
struct Finding {
  std::string path;
  std::string message;
  bool operator==(const Finding&) const = default;
};

/// \brief All errors in one input, reported together.
/// \ingroup Core
using Findings = std::vector<Finding>;

/// \brief Formats one line per finding: `path: message`.
/// \ingroup Core
std::string describe(const Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_CORE_FINDING_H
