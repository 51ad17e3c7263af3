// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DUTY_DUTYRECORD_H
#define HALLCHUTE_DUTY_DUTYRECORD_H

#include <cstdint>
#include <vector>

#include "Hallchute/src/Duty/RolloutRecord.h"
#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Gateway/CrashHistory.h"
#include "Hallchute/src/Gateway/ServiceLimit.h"
#include "Hallchute/src/Gateway/UsageLedger.h"

namespace Hallchute {

/// \brief The stored object with the holder of the duties and the finalised counts. \ingroup Duty
///
/// Written only if its revision is still the one that the writer read. Each write also renews the
/// lease.
struct DutyRecord {
  /// Its epoch is the fencing token of the holder's calls.
  DutyHolder holder;
  /// Finalised counts by window. They may have been reported already, so no holder ever reports
  /// different ones.
  UsageByWindow finalUsage;
  /// The last window up to which reports were acknowledged; 0 if none was.
  std::int64_t sentThrough = 0;
  /// Checkpoint of the counts of windows that are not finalised yet: the only copy left if every
  /// daemon stops.
  UsageByWindow openUsage{};
  /// The part of `openUsage` that is known from the record alone, since all daemons that counted it
  /// have stopped.
  UsageByWindow orphanedUsage{};
  /// Number of daemons that the writer knew when it last wrote counts; 0 if none were written yet.
  /// Daemons that start later read from it how many share the quotas.
  std::size_t daemons = 0;
  /// Contents under which upstreams crashed, so that a restart of all daemons doesn't let them
  /// crash further ones.
  std::vector<CrashHistory> crashHistories{};
  /// Limits on rejections that upstreams of the services name, in order: a daemon that starts must
  /// not learn of them by causing rejections.
  std::vector<ServiceLimit> rejectionLimits{};
  /// Rollouts that are running or have ended, by service.
  std::vector<RolloutRecord> rollouts{};
};

/// \brief A record with its revision in the store. \ingroup Duty
struct StoredDutyRecord {
  DutyRecord record;
  std::uint64_t revision = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DUTY_DUTYRECORD_H
