// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_PATHMONITOR_H
#define HALLCHUTE_GATEWAY_PATHMONITOR_H

#include <cstddef>
#include <map>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/UpstreamTable.h"

namespace Hallchute {

/// \brief Decides whether this daemon can open connections to the upstreams of a service. Not
/// thread-safe; no I/O, no clock. \ingroup Gateway
///
/// The path to a service is lost if connections to several of its upstreams failed, one in each
/// failure domain at least, and none was established since. Only new connections count: during a
/// network partition established ones may live on. Whether the network or the service is at fault
/// can't be told here; it shows in whether other daemons have lost their paths too. Cost: one
/// lookup in an empty map while all connects.
class PathMonitor {
 public:
  /// Distinct upstreams whose failures make the path count as lost; all if there are fewer. Two may
  /// fail together, as when a host with both is reclaimed.
  static constexpr std::size_t kFailuresToLose = 3;
  /// Upstreams probed at a time, if there are as many; more where there are more failure domains.
  static constexpr std::size_t kProbes = 3;
  /// How often upstreams are probed while nothing but single failures is known.
  static constexpr Millis kSuspicionInterval{1'000};
  /// How often upstreams are probed while the path is lost.
  static constexpr Millis kProbeInterval{200};
  /// Older failures don't count, unless the path is lost.
  static constexpr Millis kFailureWindow{1'000};

  /// \returns whether the path was lost until now.
  bool noteConnected(const ServiceName& service);
  /// \returns whether the path is lost from now on and was not before.
  bool noteConnectFailed(const UpstreamTable& upstreams, const UpstreamEntry& failed, Instant now);
  bool lost(const ServiceName& service) const;
  /// \brief The upstreams to which connections should be opened now, as a request to \p suspect
  /// failed: none while that was done lately. There is one in each other failure domain, in which
  /// upstreams may be reachable.
  std::vector<UpstreamId> probesOnSuspicion(const UpstreamTable& upstreams,
                                            const UpstreamEntry& suspect, Instant now);
  /// \brief The upstreams of a lost path to which connections should be opened now.
  std::vector<UpstreamId> probesOfLostPath(const UpstreamTable& upstreams,
                                           const ServiceName& service, Instant now);
  std::vector<ServiceName> lostServices() const;

 private:
  struct Path {
    std::map<UpstreamId, Instant> failedAt;
    bool lost = false;
  };

  static bool failedInEachDomain(const Path& path, const UpstreamTable& upstreams,
                                 const ServiceName& service);

  /// Services with failures since a connection was last established.
  std::map<ServiceName, Path> paths_;
  std::map<ServiceName, Instant> suspectedAt_;
  /// When upstreams of lost paths were last probed.
  std::map<UpstreamId, Instant> probedAt_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_PATHMONITOR_H
