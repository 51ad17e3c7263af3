// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/ReportSums.h"

#include <algorithm>

namespace Hallchute {

void addSpent(SpentQuota& total, const SpentQuota& more) {
  for (const auto& [organisation, amount] : more) total[organisation] += amount;
}

void addLoads(UpstreamLoads& total, const UpstreamLoads& more) {
  for (const auto& [upstream, load] : more) total[upstream] += load;
}

void addWaiting(WaitingLoads& total, const WaitingLoads& more) {
  for (const auto& [service, load] : more) total[service] += load;
}

void addUsage(UsageByWindow& total, const UsageByWindow& more) {
  for (const auto& [window, counts] : more) {
    for (const auto& [organisation, count] : counts) total[window][organisation] += count;
  }
}

void subtract(SpentQuota& total, const SpentQuota& part) {
  for (const auto& [organisation, amount] : part) total[organisation] -= amount;
}

void subtract(UpstreamLoads& total, const UpstreamLoads& part) {
  for (const auto& [upstream, load] : part) {
    const auto it = total.find(upstream);
    if (it == total.end()) continue;
    it->second -= load;
    if (it->second == UpstreamLoad{}) total.erase(it);
  }
}

void subtract(WaitingLoads& total, const WaitingLoads& part) {
  for (const auto& [service, load] : part) {
    const auto it = total.find(service);
    if (it == total.end()) continue;
    it->second -= load;
    if (it->second == WaitingLoad{}) total.erase(it);
  }
}

void subtract(UsageByWindow& total, const UsageByWindow& part) {
  for (const auto& [window, counts] : part) {
    UsageCounts& left = total[window];
    for (const auto& [organisation, count] : counts) left[organisation] -= count;
  }
}

void raiseUsage(UsageByWindow& known, const UsageByWindow& reported) {
  for (const auto& [window, counts] : reported) {
    for (const auto& [organisation, count] : counts) {
      std::uint64_t& most = known[window][organisation];
      most = std::max(most, count);
    }
  }
}

}  // namespace Hallchute
