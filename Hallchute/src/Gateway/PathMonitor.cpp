// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/PathMonitor.h"

#include <algorithm>

namespace Hallchute {

bool PathMonitor::noteConnected(const ServiceName& service) {
  const auto it = paths_.find(service);
  if (it == paths_.end()) return false;
  const bool wasLost = it->second.lost;
  paths_.erase(it);
  if (paths_.empty()) probedAt_.clear();
  return wasLost;
}

bool PathMonitor::noteConnectFailed(const ServiceName& service, const UpstreamId& upstream,
                                    std::size_t upstreams, Instant now) {
  Path& path = paths_[service];
  path.failedAt[upstream] = now;
  if (path.lost) return false;
  std::erase_if(path.failedAt, [&](const auto& f) { return now - f.second > kFailureWindow; });
  path.lost = path.failedAt.size() >= std::min(kFailuresToLose, upstreams);
  return path.lost;
}

bool PathMonitor::isCandidate(const UpstreamEntry& entry, const ServiceName& service) {
  return entry.record.service == service && !entry.unlistedSince &&
         entry.record.state == UpstreamState::ready;
}

std::vector<UpstreamId> PathMonitor::probesOnSuspicion(const UpstreamTable& upstreams,
                                                       const UpstreamEntry& suspect, Instant now) {
  const ServiceName& service = suspect.record.service;
  Instant& suspectedAt = suspectedAt_[service];
  if (lost(service) || (suspectedAt != Instant{} && now - suspectedAt < kSuspicionInterval))
    return {};
  suspectedAt = now;
  std::vector<UpstreamId> sameDomain;
  std::vector<UpstreamId> probes;
  for (const auto& [id, entry] : upstreams.entries()) {
    if (!isCandidate(entry, service) || id == suspect.record.id) continue;
    const bool same = entry.record.domain == suspect.record.domain;
    (same ? sameDomain : probes).push_back(id);
  }
  probes.insert(probes.end(), sameDomain.begin(), sameDomain.end());
  // A service with few upstreams may have lost them all.
  probes.push_back(suspect.record.id);
  probes.resize(std::min(probes.size(), kProbes));
  return probes;
}

std::vector<UpstreamId> PathMonitor::probesOfLostPath(const UpstreamTable& upstreams,
                                                      const ServiceName& service, Instant now) {
  std::vector<UpstreamId> probes;
  for (const auto& [id, entry] : upstreams.entries()) {
    if (isCandidate(entry, service)) probes.push_back(id);
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
