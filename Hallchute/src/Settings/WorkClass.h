// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_WORKCLASS_H
#define HALLCHUTE_SETTINGS_WORKCLASS_H

#include <cstdint>
#include <string>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief A class of work that organisations send.
/// \ingroup Settings
///
/// Units: targets in milliseconds. `priority` 0 is the most patient, 9 the most urgent.
struct WorkClass {
  ClassName name;
  std::int64_t priority = 5;
  std::int64_t firstTokenMs = 1'900;
  std::int64_t gapMs = 32;
  bool repeatable = true;
  bool durable = false;
  /// Whether durable work is served without its record while the platform is out.
  bool serveWithoutRecord = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_WORKCLASS_H
