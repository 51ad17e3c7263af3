// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Membership/UpstreamDirectory.h"

#include <algorithm>
#include <set>

namespace Hallchute {
namespace {

/// How long a reported leave is kept past its end, in case the host list names the upstream late.
constexpr Millis kReportedLeaveRetention{600'000};

}  // namespace

std::vector<LeaveAnnouncement> UpstreamDirectory::applyHostList(
    std::uint64_t version, std::span<const HostListEntry> hosts, Instant now) {
  std::vector<LeaveAnnouncement> leaves;
  if (version < version_) return leaves;
  version_ = version;
  std::set<UpstreamId> listed;
  for (const HostListEntry& host : hosts) {
    if (host.role != HostRole::upstream) continue;
    const UpstreamId id(host.host.str());
    listed.insert(id);
    const auto [it, isNew] = upstreams_.try_emplace(id, UpstreamInfo{id, host, std::nullopt});
    it->second.host = host;
    if (const auto reported = reportedLeaves_.find(id); reported != reportedLeaves_.end()) {
      it->second.leavesAt = reported->second;
    }
    if (host.leavesIn && !it->second.leavesAt) {
      it->second.leavesAt = now + *host.leavesIn;
      leaves.push_back({id, *host.leavesIn, LeaveSource::hostList});
    }
  }
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    if (listed.contains(it->first)) {
      ++it;
      continue;
    }
    if (!it->second.leavesAt) leaves.push_back({it->first, Millis(0), LeaveSource::hostList});
    it = upstreams_.erase(it);
  }
  std::erase_if(reportedLeaves_,
                [&](const auto& entry) { return now >= entry.second + kReportedLeaveRetention; });
  return leaves;
}

bool UpstreamDirectory::noteLeave(const UpstreamId& upstream, Millis remaining, Instant now) {
  const Instant end = now + remaining;
  const bool wasUnknown = reportedLeaves_.try_emplace(upstream, end).second;
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end()) return wasUnknown;
  if (it->second.leavesAt) {
    it->second.leavesAt = std::min(*it->second.leavesAt, end);
    return false;
  }
  it->second.leavesAt = end;
  return true;
}

std::vector<UpstreamId> UpstreamDirectory::live(const ServiceName& service,
                                                const FailureDomainName& domain) const {
  std::vector<UpstreamId> found;
  for (const auto& [id, info] : upstreams_) {
    const bool match = info.host.service == service && info.host.domain == domain;
    if (match && !info.leavesAt) found.push_back(id);
  }
  return found;
}

std::vector<FailureDomainName> UpstreamDirectory::domainsOf(const ServiceName& service) const {
  std::set<FailureDomainName> found;
  for (const auto& [id, info] : upstreams_) {
    if (info.host.service == service && !info.leavesAt) found.insert(info.host.domain);
  }
  return {found.begin(), found.end()};
}

const UpstreamInfo* UpstreamDirectory::find(const UpstreamId& upstream) const {
  const auto it = upstreams_.find(upstream);
  return it == upstreams_.end() ? nullptr : &it->second;
}

std::vector<UpstreamInfo> UpstreamDirectory::all() const {
  std::vector<UpstreamInfo> found;
  found.reserve(upstreams_.size());
  for (const auto& [id, info] : upstreams_) found.push_back(info);
  return found;
}

}  // namespace Hallchute
