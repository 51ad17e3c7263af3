// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_REPORTSUMS_H
#define HALLCHUTE_FLEET_REPORTSUMS_H

#include "Hallchute/src/Gateway/QuotaLedger.h"
#include "Hallchute/src/Gateway/UpstreamLoad.h"
#include "Hallchute/src/Gateway/UsageLedger.h"
#include "Hallchute/src/Gateway/WaitingLoad.h"

namespace Hallchute {

/// \file
/// \brief Addition, subtraction and maximum of reported counters. Cost: one lookup in the total for
/// each entry of the other argument.

/// \brief Adds \p more to \p total. \ingroup Fleet
void addSpent(SpentQuota& total, const SpentQuota& more);
void addLoads(UpstreamLoads& total, const UpstreamLoads& more);
void addWaiting(WaitingLoads& total, const WaitingLoads& more);
void addUsage(UsageByWindow& total, const UsageByWindow& more);

/// \brief Subtracts \p part, which was added before, from \p total. \ingroup Fleet
void subtract(SpentQuota& total, const SpentQuota& part);
/// \brief As above; removes upstreams and services that are left without load.
void subtract(UpstreamLoads& total, const UpstreamLoads& part);
void subtract(WaitingLoads& total, const WaitingLoads& part);
void subtract(UsageByWindow& total, const UsageByWindow& part);

/// \brief Raises the counts of \p known to those of \p reported where these are higher. Counts of
/// an incarnation never decrease, so the higher of two reports is the later one. \ingroup Fleet
void raiseUsage(UsageByWindow& known, const UsageByWindow& reported);

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_REPORTSUMS_H
