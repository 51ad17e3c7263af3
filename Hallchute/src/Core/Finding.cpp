// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Core/Finding.h"

namespace Hallchute {

std::string describe(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += finding.path.empty() ? "/" : finding.path;
    text += ": " + finding.message + "\n";
  }
  return text;
}

}  // namespace Hallchute
