// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/PastUsageLedger.h"

#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Fleet/ReportSums.h"

namespace Hallchute {

void PastUsageLedger::note(const DaemonId& daemon, std::uint64_t incarnation,
                           const UsageByWindow& usage) {
  if (!usage.empty()) raiseUsage(byLife_[{daemon, incarnation}], usage);
}

void PastUsageLedger::forget(const DaemonId& daemon, std::uint64_t incarnation) {
  byLife_.erase({daemon, incarnation});
}

void PastUsageLedger::forgetBefore(std::int64_t firstWindow) {
  for (auto& [life, usage] : byLife_) {
    usage.erase(usage.begin(), usage.lower_bound(firstWindow));
  }
  std::erase_if(byLife_, [](const auto& entry) { return entry.second.empty(); });
}

UsageByWindow PastUsageLedger::of(const DaemonId& daemon) const {
  UsageByWindow usage;
  const auto first = byLife_.lower_bound({daemon, 0});
  for (auto it = first; it != byLife_.end() && it->first.first == daemon; ++it) {
    addUsage(usage, it->second);
  }
  return usage;
}

UsageByWindow PastUsageLedger::total() const {
  UsageByWindow usage;
  for (const auto& [life, past] : byLife_) addUsage(usage, past);
  return usage;
}

std::vector<PastUsage> PastUsageLedger::all() const {
  std::vector<PastUsage> told;
  for (const auto& [life, usage] : byLife_) told.push_back({life.first, life.second, usage});
  return told;
}

}  // namespace Hallchute
