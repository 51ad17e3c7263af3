// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_PATHPROBER_H
#define HALLCHUTE_TRAFFIC_PATHPROBER_H

#include <cstdint>
#include <vector>

#include "Hallchute/src/Gateway/PathMonitor.h"
#include "Hallchute/src/Upstream/ConnectionObserver.h"

namespace Hallchute {

class EventLoop;
class Metrics;
class UpstreamPool;
class UpstreamTable;

/// \brief Carries out what PathMonitor decides: opens probe connections and reports paths that are
/// lost and regained. Traffic thread only. \ingroup Traffic
class PathProber final : public ConnectionObserver {
 public:
  /// \param pool opens the connections; used from the first call of an observer's function on.
  PathProber(EventLoop& loop, const UpstreamTable& upstreams, UpstreamPool& pool, Metrics& metrics);
  ~PathProber() override;

  const PathMonitor& paths() const { return paths_; }

  void upstreamConnected(const UpstreamId& upstream) override;
  void upstreamConnectFailed(const UpstreamId& upstream) override;
  void upstreamAcknowledgesLate(const UpstreamId& upstream) override;

 private:
  void probe(const std::vector<UpstreamId>& upstreams);
  /// Probes the upstreams of lost paths, again and again until all are regained.
  void probeLostPaths();

  EventLoop& loop_;
  const UpstreamTable& upstreams_;
  UpstreamPool& pool_;
  Metrics& metrics_;
  PathMonitor paths_;
  std::uint64_t probeTimer_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_PATHPROBER_H
