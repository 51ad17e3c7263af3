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

FleetUsage::IncarnationRecord& FleetUsage::incarnation(const DaemonId& daemon, std::uint64_t number,
                                                       const FailureDomainName& domain) {
  IncarnationRecord& record = incarnations_[{daemon, number}];
  record.domain = domain;
  return record;
}

void FleetUsage::raiseRecord(IncarnationRecord& record, const UsageByWindow& reported) {
  UsageByWindow& sums = domainSums_[record.domain];
  for (const auto& [window, counts] : reported) {
    UsageCounts& before = record.usage[window];
    UsageCounts& sum = sums[window];
    for (const auto& [organisation, count] : counts) {
      std::uint64_t& most = before[organisation];
      if (count <= most) continue;
      sum[organisation] += count - most;
      most = count;
    }
  }
}

void FleetUsage::dropBefore(IncarnationRecord& record, std::int64_t firstWindow) {
  const auto end = record.usage.lower_bound(firstWindow);
  const UsageByWindow dropped(record.usage.begin(), end);
  record.usage.erase(record.usage.begin(), end);
  UsageByWindow& sums = domainSums_[record.domain];
  subtract(sums, dropped);
  for (const auto& [window, counts] : dropped) {
    if (isZero(sums[window])) sums.erase(window);
  }
}

void FleetUsage::noteSelfReport(const FleetMember& member, const UsageByWindow& usage) {
  if (isSelf(member.daemon, member.incarnation)) return;
  IncarnationRecord& record = incarnation(member.daemon, member.incarnation, member.domain);
  const auto first = incarnations_.lower_bound({member.daemon, 0});
  for (auto it = first; &it->second != &record; ++it) it->second.selfReported = false;
  record.selfReported = true;
  raiseRecord(record, usage);
  // Drops the windows that the sender no longer reports.
  if (!usage.empty()) dropBefore(record, usage.begin()->first);
}

void FleetUsage::noteIncarnation(const IncarnationUsage& report) {
  if (isSelf(report.daemon, report.incarnation)) return;
  UsageByWindow kept = report.usage;
  // Otherwise daemons with differing clocks would keep re-sending each other windows that all have
  // already dropped.
  eraseBefore(kept, firstKeptWindow_);
  if (kept.empty()) return;
  raiseRecord(incarnation(report.daemon, report.incarnation, report.domain), kept);
}

void FleetUsage::noteDomainSums(const FailureDomainName& domain, const UsageByWindow& sums) {
  // Sums of the own domain may include this daemon's own counts.
  if (domain == self_.domain) return;
  UsageByWindow& known = reportedDomainSums_[domain];
  raiseUsage(known, sums);
  eraseBefore(known, firstKeptWindow_);
}

void FleetUsage::noteFleetSums(const UsageByWindow& sums) {
  raiseUsage(reportedFleetSums_, sums);
  eraseBefore(reportedFleetSums_, firstKeptWindow_);
}

void FleetUsage::forgetBefore(std::int64_t firstWindow) {
  if (firstWindow <= firstKeptWindow_) return;
  firstKeptWindow_ = firstWindow;
  for (auto& [key, record] : incarnations_) {
    if (!record.selfReported) dropBefore(record, firstWindow);
    record.selfReported = false;
  }
  std::erase_if(incarnations_, [](const auto& entry) { return entry.second.usage.empty(); });
  for (auto& [domain, sums] : reportedDomainSums_) eraseBefore(sums, firstWindow);
  eraseBefore(reportedFleetSums_, firstWindow);
}

UsageByWindow FleetUsage::ownDomain() const {
  const auto sums = domainSums_.find(self_.domain);
  return sums == domainSums_.end() ? UsageByWindow{} : sums->second;
}

UsageByWindow FleetUsage::forwardable() const {
  std::map<FailureDomainName, UsageByWindow> domains = domainSums_;
  for (const auto& [domain, sums] : reportedDomainSums_) raiseUsage(domains[domain], sums);
  UsageByWindow total;
  for (const auto& [domain, sums] : domains) addUsage(total, sums);
  return total;
}

UsageByWindow FleetUsage::elsewhere() const {
  UsageByWindow total = forwardable();
  raiseUsage(total, reportedFleetSums_);
  return total;
}

UsageByWindow FleetUsage::usageSince(const FleetMember& member) const {
  UsageByWindow usage;
  auto it = incarnations_.lower_bound({member.daemon, member.incarnation});
  for (; it != incarnations_.end() && it->first.first == member.daemon; ++it) {
    addUsage(usage, it->second.usage);
  }
  return usage;
}

}  // namespace Hallchute
