// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/PathMonitor.h"

#include <algorithm>
#include <set>

namespace Hallchute {

bool PathMonitor::noteConnected(const ServiceName& service) {
  const auto it = paths_.find(service);
  if (it == paths_.end()) return false;
  const bool wasLost = it->second.lost;
  paths_.erase(it);
  if (paths_.empty()) probedAt_.clear();
  return wasLost;
}

bool PathMonitor::failedInEachDomain(const Path& path, const UpstreamTable& upstreams,
                                     const ServiceName& service) {
  std::set<FailureDomainName> domains;
  std::set<FailureDomainName> failedDomains;
  for (const auto& [id, entry] : upstreams.entries()) {
    if (!UpstreamTable::takesRequests(entry, service)) continue;
    domains.insert(entry.record.domain);
    if (path.failedAt.contains(id)) failedDomains.insert(entry.record.domain);
  }
  return failedDomains.size() == domains.size();
}

bool PathMonitor::noteConnectFailed(const UpstreamTable& upstreams, const UpstreamEntry& failed,
                                    Instant now) {
  const ServiceName& service = failed.record.service;
  Path& path = paths_[service];
  path.failedAt[failed.record.id] = now;
  if (path.lost) return false;
  std::erase_if(path.failedAt, [&](const auto& f) { return now - f.second > kFailureWindow; });
  const std::size_t needed = std::min(kFailuresToLose, upstreams.listedCount(service));
  path.lost = path.failedAt.size() >= needed && failedInEachDomain(path, upstreams, service);
  return path.lost;
}

std::vector<UpstreamId> PathMonitor::probesOnSuspicion(const UpstreamTable& upstreams,
                                                       const UpstreamEntry& suspect, Instant now) {
  const ServiceName& service = suspect.record.service;
  Instant& suspectedAt = suspectedAt_[service];
  if (lost(service) || (suspectedAt != Instant{} && now - suspectedAt < kSuspicionInterval))
    return {};
  suspectedAt = now;
  std::set<FailureDomainName> probedDomains{suspect.record.domain};
  std::vector<UpstreamId> probes;
  std::vector<UpstreamId> others;
  for (const auto& [id, entry] : upstreams.entries()) {
    if (!UpstreamTable::takesRequests(entry, service) || id == suspect.record.id) continue;
    const bool firstOfDomain = probedDomains.insert(entry.record.domain).second;
    (firstOfDomain ? probes : others).push_back(id);
  }
  // A service with few upstreams may have lost them all.
  others.push_back(suspect.record.id);
  for (const UpstreamId& id : others) {
    if (probes.size() < kProbes) probes.push_back(id);
  }
  return probes;
}

std::vector<UpstreamId> PathMonitor::probesOfLostPath(const UpstreamTable& upstreams,
                                                      const ServiceName& service, Instant now) {
  std::vector<UpstreamId> probes;
  for (const auto& [id, entry] : upstreams.entries()) {
    if (UpstreamTable::takesRequests(entry, service)) probes.push_back(id);
  }
  const std::size_t count = std::min(probes.size(), kProbes);
  std::partial_sort(
      probes.begin(), probes.begin() + static_cast<std::ptrdiff_t>(count), probes.end(),
      [&](const UpstreamId& a, const UpstreamId& b) { return probedAt_[a] < probedAt_[b]; });
  probes.resize(count);
  for (const UpstreamId& id : probes) probedAt_[id] = now;
  return probes;
}

bool PathMonitor::lost(const ServiceName& service) const {
  const auto it = paths_.find(service);
  return it != paths_.end() && it->second.lost;
}

std::vector<ServiceName> PathMonitor::lostServices() const {
  std::vector<ServiceName> services;
  for (const auto& [service, path] : paths_) {
    if (path.lost) services.push_back(service);
  }
  return services;
}

}  // namespace Hallchute
