// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_ROLLOUTPORT_H
#define HALLCHUTE_PORTS_ROLLOUTPORT_H

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

#include "Hallchute/src/Duty/RolloutRecord.h"

namespace Hallchute {

/// \brief Reads operators' rollout orders and writes their status. \ingroup Ports
///
/// Calls block; not thread-safe. Errors: `NotFound`, `Aborted` if the object has another revision,
/// `Unavailable` if the call had no effect, `Unknown` if it may have had one.
class RolloutPort {
 public:
  RolloutPort() = default;
  RolloutPort(const RolloutPort&) = delete;
  RolloutPort& operator=(const RolloutPort&) = delete;
  virtual ~RolloutPort() = default;

  virtual absl::StatusOr<RolloutOrder> read(const std::string& name) = 0;
  /// \brief Writes the status if the object is at \p revision. \returns the new revision.
  virtual absl::StatusOr<std::uint64_t> writeStatus(const std::string& name, std::uint64_t revision,
                                                    const RolloutStatus& status) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_ROLLOUTPORT_H
