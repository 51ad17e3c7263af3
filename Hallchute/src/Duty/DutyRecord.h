// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DUTY_DUTYRECORD_H
#define HALLCHUTE_DUTY_DUTYRECORD_H

#include <cstdint>

#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Gateway/UsageLedger.h"

namespace Hallchute {

/// \brief The one object that says who holds the duties and what was fixed. \ingroup Duty
///
/// Written only under the revision that its writer read: one write renews and records.
struct DutyRecord {
  /// Its epoch is the fencing token of every call.
  DutyHolder holder;
  /// Counts of windows that may have been sent: nobody ever sends others for them.
  UsageByWindow finalUsage;
  /// The last window whose report was acknowledged, and all before it; 0 if none was.
  std::int64_t sentThrough = 0;
  /// Counts of windows that are not fixed yet, as the holder knew them when it wrote last: all that
  /// is left of them if every daemon ends.
  UsageByWindow openUsage{};
  /// The part of `counted` that is known from the record alone, as all daemons that counted it have
  /// ended.
  UsageByWindow orphanedUsage{};
  /// Daemons that its writer knew when it wrote counts last: those that start later learn from it
  /// how many share the quotas. 0 if none did yet.
  std::size_t daemons = 0;
};

/// \brief A record with the store's revision of it. \ingroup Duty
struct StoredDutyRecord {
  DutyRecord record;
  std::uint64_t revision = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DUTY_DUTYRECORD_H
