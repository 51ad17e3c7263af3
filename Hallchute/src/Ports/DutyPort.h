// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_DUTYPORT_H
#define HALLCHUTE_PORTS_DUTYPORT_H

#include <absl/status/statusor.h>

#include "Hallchute/src/Capacity/ReplicaOrder.h"
#include "Hallchute/src/Duty/DutyRecord.h"
#include "Hallchute/src/Ports/ReadConsistency.h"

namespace Hallchute {

/// \brief The platform's interface for the fleet's duties. \ingroup Ports
///
/// Calls block; only read() is thread-safe. Errors: `Aborted` if the stored record has another
/// revision or a higher epoch, `NotFound`, `Unavailable` if the call had no effect, `Unknown` if it
/// may have had or may yet have one.
class DutyPort {
 public:
  DutyPort() = default;
  DutyPort(const DutyPort&) = delete;
  DutyPort& operator=(const DutyPort&) = delete;
  virtual ~DutyPort() = default;

  virtual absl::StatusOr<StoredDutyRecord> read(ReadConsistency consistency) = 0;
  /// \returns the new revision.
  virtual absl::StatusOr<std::uint64_t> create(const DutyRecord& record) = 0;
  virtual absl::StatusOr<std::uint64_t> write(const DutyRecord& record, std::uint64_t revision) = 0;
  virtual absl::Status reportUsage(const DutyHolder& holder, std::int64_t window,
                                   const UsageCounts& counts) = 0;
  /// \brief Orders a number of replicas. `ResourceExhausted` if none are available.
  virtual absl::Status order(const DutyHolder& holder, const ReplicaOrder& order) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_DUTYPORT_H
