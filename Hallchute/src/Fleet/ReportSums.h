// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_REPORTSUMS_H
#define HALLCHUTE_FLEET_REPORTSUMS_H

#include "Hallchute/src/Gateway/QuotaLedger.h"
#include "Hallchute/src/Gateway/UpstreamLoad.h"
#include "Hallchute/src/Gateway/UsageLedger.h"

namespace Hallchute {

/// \file
/// \brief Arithmetic of what daemons report. Cost: one look-up in the total for each entry of the
/// other argument.

/// \brief Adds \p more to \p total. \ingroup Fleet
void addSpent(SpentQuota& total, const SpentQuota& more);
void addLoads(UpstreamLoads& total, const UpstreamLoads& more);
void addUsage(UsageByWindow& total, const UsageByWindow& more);

/// \brief Takes \p part, which was added before, off \p total. \ingroup Fleet
void takeOff(SpentQuota& total, const SpentQuota& part);
/// \brief As above; upstreams that are left without load go.
void takeOff(UpstreamLoads& total, const UpstreamLoads& part);
void takeOff(UsageByWindow& total, const UsageByWindow& part);

/// \brief Raises counts of \p known to those of \p told where they are higher: counts of an
/// incarnation only rise, so that of two words the later one holds more. \ingroup Fleet
void raiseUsage(UsageByWindow& known, const UsageByWindow& told);

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_REPORTSUMS_H
