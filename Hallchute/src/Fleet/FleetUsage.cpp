// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/FleetUsage.h"

#include <algorithm>

#include "Hallchute/src/Fleet/ReportSums.h"

namespace Hallchute {
namespace {

void eraseBefore(UsageByWindow& usage, std::int64_t firstWindow) {
  usage.erase(usage.begin(), usage.lower_bound(firstWindow));
}

bool isZero(const UsageCounts& counts) {
  return std::all_of(counts.begin(), counts.end(), [](const auto& one) { return one.second == 0; });
}

}  // namespace

bool FleetUsage::isSelf(const DaemonId& daemon, std::uint64_t incarnation) const {
  return daemon == self_.daemon && incarnation == self_.incarnation;
}

FleetUsage::Known& FleetUsage::incarnation(const DaemonId& daemon, std::uint64_t number,
                                           const DomainName& domain) {
  Known& known = incarnations_[{daemon, number}];
  known.domain = domain;
  return known;
}

void FleetUsage::raise(Known& known, const UsageByWindow& told) {
  UsageByWindow& sums = sums_[known.domain];
  for (const auto& [window, counts] : told) {
    UsageCounts& before = known.usage[window];
    UsageCounts& sum = sums[window];
    for (const auto& [organisation, count] : counts) {
      std::uint64_t& most = before[organisation];
      if (count <= most) continue;
      sum[organisation] += count - most;
      most = count;
    }
  }
}

void FleetUsage::dropBefore(Known& known, std::int64_t firstWindow) {
  const auto end = known.usage.lower_bound(firstWindow);
  const UsageByWindow dropped(known.usage.begin(), end);
  known.usage.erase(known.usage.begin(), end);
  UsageByWindow& sums = sums_[known.domain];
  takeOff(sums, dropped);
  for (const auto& [window, counts] : dropped) {
    if (isZero(sums[window])) sums.erase(window);
  }
}

void FleetUsage::noteSelfReport(const FleetMember& member, const UsageByWindow& usage) {
  if (isSelf(member.daemon, member.incarnation)) return;
  Known& known = incarnation(member.daemon, member.incarnation, member.domain);
  const auto first = incarnations_.lower_bound({member.daemon, 0});
  for (auto it = first; &it->second != &known; ++it) it->second.speaks = false;
  known.speaks = true;
  raise(known, usage);
  // Windows that it has dropped itself.
  if (!usage.empty()) dropBefore(known, usage.begin()->first);
}

void FleetUsage::noteIncarnation(const IncarnationUsage& word) {
  if (isSelf(word.daemon, word.incarnation)) return;
  UsageByWindow kept = word.usage;
  // Daemons whose clocks differ must not tell each other for ever what all have dropped.
  eraseBefore(kept, firstKept_);
  if (kept.empty()) return;
  raise(incarnation(word.daemon, word.incarnation, word.domain), kept);
}

void FleetUsage::noteDomainSums(const DomainName& domain, const UsageByWindow& sums) {
  // Sums of the own domain may hold this daemon's own counts.
  if (domain == self_.domain) return;
  UsageByWindow& known = toldOfDomains_[domain];
  raiseUsage(known, sums);
  eraseBefore(known, firstKept_);
}

void FleetUsage::noteFleetSums(const UsageByWindow& sums) {
  raiseUsage(toldOfFleet_, sums);
  eraseBefore(toldOfFleet_, firstKept_);
}

void FleetUsage::forgetBefore(std::int64_t firstWindow) {
  if (firstWindow <= firstKept_) return;
  firstKept_ = firstWindow;
  for (auto& [key, known] : incarnations_) {
    if (!known.speaks) dropBefore(known, firstWindow);
    known.speaks = false;
  }
  std::erase_if(incarnations_, [](const auto& entry) { return entry.second.usage.empty(); });
  for (auto& [domain, sums] : toldOfDomains_) eraseBefore(sums, firstWindow);
  eraseBefore(toldOfFleet_, firstWindow);
}

UsageByWindow FleetUsage::ownDomain() const {
  const auto sums = sums_.find(self_.domain);
  return sums == sums_.end() ? UsageByWindow{} : sums->second;
}

UsageByWindow FleetUsage::tellable() const {
  std::map<DomainName, UsageByWindow> domains = sums_;
  for (const auto& [domain, sums] : toldOfDomains_) raiseUsage(domains[domain], sums);
  UsageByWindow total;
  for (const auto& [domain, sums] : domains) addUsage(total, sums);
  return total;
}

UsageByWindow FleetUsage::elsewhere() const {
  UsageByWindow total = tellable();
  raiseUsage(total, toldOfFleet_);
  return total;
}

UsageByWindow FleetUsage::since(const FleetMember& member) const {
  UsageByWindow usage;
  auto it = incarnations_.lower_bound({member.daemon, member.incarnation});
  for (; it != incarnations_.end() && it->first.first == member.daemon; ++it) {
    addUsage(usage, it->second.usage);
  }
  return usage;
}

}  // namespace Hallchute
