// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Traffic/PathProber.h"

#include "Hallchute/src/Gateway/UpstreamTable.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Upstream/UpstreamPool.h"

namespace Hallchute {

PathProber::PathProber(EventLoop& loop, const UpstreamTable& upstreams, UpstreamPool& pool,
                       Metrics& metrics)
    : loop_(loop), upstreams_(upstreams), pool_(pool), metrics_(metrics) {}

PathProber::~PathProber() {
  loop_.cancel(probeTimer_);
}

void PathProber::upstreamConnected(const UpstreamId& upstream) {
  const UpstreamEntry* entry = upstreams_.find(upstream);
  if (entry == nullptr) return;
  const ServiceName& service = entry->record.service;
  if (!paths_.noteConnected(service)) return;
  LogLine(LogLevel::info, "path.regained")
      .with("service", service.str())
      .with("upstream", upstream.str());
}

void PathProber::upstreamConnectFailed(const UpstreamId& upstream) {
  const UpstreamEntry* entry = upstreams_.find(upstream);
  if (entry == nullptr) return;
  const Instant now = clockNow();
  const ServiceName& service = entry->record.service;
  metrics_.add("hallchute_upstream_connects_failed_total", "service=\"" + service.str() + "\"");
  probe(paths_.probesOnSuspicion(upstreams_, *entry, now));
  if (!paths_.noteConnectFailed(upstreams_, *entry, now)) return;
  LogLine(LogLevel::warning, "path.lost")
      .with("service", service.str())
      .with("upstream", upstream.str())
      .with("upstreams", static_cast<std::uint64_t>(upstreams_.listedCount(service)));
  metrics_.add("hallchute_paths_lost_total", "service=\"" + service.str() + "\"");
  if (probeTimer_ == 0) probeLostPaths();
}

void PathProber::upstreamAcknowledgesLate(const UpstreamId& upstream) {
  const UpstreamEntry* entry = upstreams_.find(upstream);
  if (entry != nullptr) probe(paths_.probesOnSuspicion(upstreams_, *entry, clockNow()));
}

void PathProber::probe(const std::vector<UpstreamId>& upstreams) {
  for (const UpstreamId& upstream : upstreams) {
    pool_.probe(upstream, upstreams_.find(upstream)->record.address);
  }
}

void PathProber::probeLostPaths() {
  probeTimer_ = 0;
  const std::vector<ServiceName> lost = paths_.lostServices();
  if (lost.empty()) return;
  for (const ServiceName& service : lost) {
    probe(paths_.probesOfLostPath(upstreams_, service, clockNow()));
  }
  probeTimer_ = loop_.after(PathMonitor::kProbeInterval, [this] { probeLostPaths(); });
}

}  // namespace Hallchute
