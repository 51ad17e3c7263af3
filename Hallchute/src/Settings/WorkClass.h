// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_WORKCLASS_H
#define HALLCHUTE_SETTINGS_WORKCLASS_H

#include <cstdint>
#include <string>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief A class of requests, with its priority, latency targets and delivery guarantees.
/// \ingroup Settings
///
/// Targets are in milliseconds. `priority` ranges from 0 (lowest) to 9 (most urgent).
struct WorkClass {
  WorkClassName name;
  std::int64_t priority = 5;
  std::int64_t firstTokenMs = 1'900;
  std::int64_t gapMs = 32;
  bool repeatable = true;
  bool durable = false;
  /// Whether durable work is served without a record while the platform is unavailable.
  bool serveWithoutRecord = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_WORKCLASS_H
