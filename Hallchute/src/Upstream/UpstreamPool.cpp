// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Upstream/UpstreamPool.h"

#include <algorithm>
#include <utility>

#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Upstream/AnswerMemory.h"
#include "Hallchute/src/Upstream/ConnectionObserver.h"
#include "Hallchute/src/Upstream/UpstreamChannel.h"

namespace Hallchute {
namespace {

/// Connecting takes well under a millisecond within a failure domain and a few between domains. If
/// it takes longer, the host is gone or behind a network partition.
constexpr Millis kConnectLimit{120};
/// A connection isn't reused within this time before the upstream's keep-alive timeout.
constexpr Millis kKeepAliveMargin{300};
/// How long an idle connection is safe to reuse if the upstream sent no keep-alive timeout.
constexpr Millis kDefaultSafeReuseTime{1'000};
/// How long an idle connection is kept if the upstream sent no keep-alive timeout.
constexpr Millis kDefaultKeepTime{15'000};

Millis safeReuseTime(const UpstreamChannel& channel) {
  const Millis announced = channel.keepAliveTimeout();
  return announced > Millis(0) ? announced - kKeepAliveMargin : kDefaultSafeReuseTime;
}

Millis keepTime(const UpstreamChannel& channel) {
  const Millis announced = channel.keepAliveTimeout();
  return announced > Millis(0) ? announced - kKeepAliveMargin : kDefaultKeepTime;
}

}  // namespace

UpstreamPool::UpstreamPool(EventLoop& loop, std::string source, const AnswerBounds& bounds,
                           ConnectionObserver& observer, Metrics& metrics)
    : loop_(loop),
      source_(std::move(source)),
      memory_(std::make_shared<AnswerMemory>(loop, bounds)),
      observer_(observer),
      metrics_(metrics) {}

UpstreamPool::~UpstreamPool() = default;

std::unique_ptr<UpstreamChannel> UpstreamPool::take(const UpstreamId& upstream,
                                                    const std::string& address,
                                                    ConnectionReuse reuse, std::size_t maxOpen,
                                                    Instant now) {
  Entry& entry = entries_[upstream];
  // The most recently used connection is the least likely to have been closed by the upstream.
  while (!entry.idle.empty()) {
    Idle idle = std::move(entry.idle.back());
    entry.idle.pop_back();
    const Millis limit =
        reuse == ConnectionReuse::safe ? safeReuseTime(*idle.channel) : keepTime(*idle.channel);
    if (now - idle.idleSince < limit && idle.channel->isOpenAndIdle()) {
      idle.channel->onIdleClosed = nullptr;
      return std::move(idle.channel);
    }
    --entry.open;
    idle.channel->abort();
    destroyDeferred(std::move(idle.channel));
  }
  if (entry.open >= maxOpen) return nullptr;
  ++entry.open;
  return open(upstream, address);
}

std::unique_ptr<UpstreamChannel> UpstreamPool::open(const UpstreamId& upstream,
                                                    const std::string& address) {
  metrics_.add("hallchute_upstream_connections_total", "");
  auto channel = std::make_unique<UpstreamChannel>(loop_, address, source_, kConnectLimit, memory_);
  channel->onConnectResult = [this, upstream](bool connected) {
    if (connected) {
      observer_.upstreamConnected(upstream);
    } else {
      observer_.upstreamConnectFailed(upstream);
    }
  };
  channel->onAcknowledgementDelayed = [this, upstream] {
    observer_.upstreamAcknowledgesLate(upstream);
  };
  return channel;
}

void UpstreamPool::release(const UpstreamId& upstream, std::unique_ptr<UpstreamChannel> channel,
                           Instant now) {
  const auto it = entries_.find(upstream);
  if (it == entries_.end() || !channel->reusable()) {
    discard(upstream, std::move(channel));
    return;
  }
  channel->onIdleClosed = [this, upstream, raw = channel.get()] {
    // Copies the ID, as dropIdle() destroys this callback, which owns it.
    dropIdle(UpstreamId(upstream), raw);
  };
  it->second.idle.push_back({std::move(channel), now});
}

void UpstreamPool::noteIfUnexpected(const UpstreamId& upstream, const UpstreamChannel& channel) {
  if (!channel.hasUnexpectedBytes()) return;
  metrics_.add("hallchute_upstream_unexpected_bytes_total", "");
  LogLine(LogLevel::info, "upstream.unexpectedBytes").with("upstream", upstream.str());
}

void UpstreamPool::discard(const UpstreamId& upstream, std::unique_ptr<UpstreamChannel> channel) {
  noteIfUnexpected(upstream, *channel);
  channel->abort();
  destroyDeferred(std::move(channel));
  const auto it = entries_.find(upstream);
  if (it == entries_.end()) return;
  if (it->second.open > 0) --it->second.open;
  eraseIfEmpty(upstream);
}

void UpstreamPool::dropIdle(const UpstreamId& upstream, const UpstreamChannel* channel) {
  const auto it = entries_.find(upstream);
  if (it == entries_.end()) return;
  std::vector<Idle>& idle = it->second.idle;
  const auto found = std::find_if(idle.begin(), idle.end(),
                                  [&](const Idle& i) { return i.channel.get() == channel; });
  if (found == idle.end()) return;
  std::unique_ptr<UpstreamChannel> gone = std::move(found->channel);
  idle.erase(found);
  discard(upstream, std::move(gone));
}

void UpstreamPool::eraseIfEmpty(const UpstreamId& upstream) {
  const auto it = entries_.find(upstream);
  if (it != entries_.end() && it->second.open == 0 && it->second.idle.empty()) entries_.erase(it);
}

void UpstreamPool::destroyDeferred(std::unique_ptr<UpstreamChannel> channel) {
  // A callback of this channel may be the caller, so it is destroyed in the loop's next iteration.
  const std::shared_ptr<UpstreamChannel> gone = std::move(channel);
  loop_.post([gone] {});
}

void UpstreamPool::closeIdle(const UpstreamId& upstream) {
  const auto it = entries_.find(upstream);
  if (it == entries_.end()) return;
  std::vector<Idle> idle = std::move(it->second.idle);
  it->second.idle.clear();
  for (Idle& i : idle) discard(upstream, std::move(i.channel));
  eraseIfEmpty(upstream);
}

void UpstreamPool::probe(const UpstreamId& upstream, const std::string& address) {
  if (probes_.contains(upstream)) return;
  ++entries_[upstream].open;
  std::unique_ptr<UpstreamChannel> channel = open(upstream, address);
  channel->onConnectResult = [this, upstream, observe = channel->onConnectResult](bool connected) {
    observe(connected);
    // Copies the ID, as finishProbe() may destroy this callback, which owns it.
    finishProbe(UpstreamId(upstream), connected);
  };
  probes_[upstream] = std::move(channel);
}

void UpstreamPool::finishProbe(const UpstreamId& upstream, bool connected) {
  const auto it = probes_.find(upstream);
  if (it == probes_.end()) return;
  std::unique_ptr<UpstreamChannel> channel = std::move(it->second);
  probes_.erase(it);
  if (connected) {
    release(upstream, std::move(channel), clockNow());
  } else {
    discard(upstream, std::move(channel));
  }
}

void UpstreamPool::sweep(Instant now) {
  std::vector<std::pair<UpstreamId, std::unique_ptr<UpstreamChannel>>> expired;
  for (auto& [upstream, entry] : entries_) {
    for (Idle& idle : entry.idle) {
      if (now - idle.idleSince < keepTime(*idle.channel)) continue;
      expired.emplace_back(upstream, std::move(idle.channel));
    }
    std::erase_if(entry.idle, [](const Idle& idle) { return idle.channel == nullptr; });
  }
  for (auto& [upstream, channel] : expired) discard(upstream, std::move(channel));
}

}  // namespace Hallchute
