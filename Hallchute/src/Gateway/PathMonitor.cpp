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
