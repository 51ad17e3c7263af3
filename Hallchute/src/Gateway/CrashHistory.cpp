// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/CrashHistory.h"

#include <algorithm>

namespace Hallchute {

std::size_t CrashHistory::count() const {
  return static_cast<std::size_t>(
      std::count_if(crashes.begin(), crashes.end(), [](const auto& c) { return !c.refuted; }));
}

}  // namespace Hallchute
