// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Upstream/UpstreamPool.h"

#include <algorithm>
#include <utility>

#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Upstream/UpstreamChannel.h"

namespace Hallchute {
namespace {

/// Within a failure domain a connection takes well under a millisecond, between domains a few;
/// one that takes longer leads to a host that is gone or behind a cut.
constexpr Millis kConnectLimit{120};
/// What is left of the announced idle time when a connection counts as no longer sure.
constexpr Millis kIdleMargin{300};
/// How long a connection counts as sure where the upstream announced no idle time.
constexpr Millis kSureUnannounced{1'000};
/// How long an idle connection is kept where the upstream announced no idle time.
constexpr Millis kKeepUnannounced{15'000};

Millis sureFor(const UpstreamChannel& channel) {
  const Millis announced = channel.announcedIdle();
  return announced > Millis(0) ? announced - kIdleMargin : kSureUnannounced;
}

Millis keptFor(const UpstreamChannel& channel) {
  const Millis announced = channel.announcedIdle();
  return announced > Millis(0) ? announced - kIdleMargin : kKeepUnannounced;
}

}  // namespace

UpstreamPool::UpstreamPool(EventLoop& loop, std::string source, Metrics& metrics)
    : loop_(loop), source_(std::move(source)), metrics_(metrics) {}

UpstreamPool::~UpstreamPool() = default;

std::unique_ptr<UpstreamChannel> UpstreamPool::take(const UpstreamId& upstream,
                                                    const std::string& address,
                                                    ConnectionReuse care, std::size_t most,
                                                    Instant now) {
  Entry& entry = entries_[upstream];
  // The most recently used one is the surest.
  while (!entry.idle.empty()) {
    Idle idle = std::move(entry.idle.back());
    entry.idle.pop_back();
    const Millis limit =
        care == ConnectionReuse::safe ? sureFor(*idle.channel) : keptFor(*idle.channel);
    if (now - idle.since < limit && idle.channel->quiet()) {
      idle.channel->onIdleEnd = nullptr;
      return std::move(idle.channel);
    }
    --entry.open;
    idle.channel->abort();
    destroy(std::move(idle.channel));
  }
  if (entry.open >= most) return nullptr;
  ++entry.open;
  metrics_.add("hallchute_upstream_connections_total", "");
  return std::make_unique<UpstreamChannel>(loop_, address, source_, kConnectLimit);
}

void UpstreamPool::release(const UpstreamId& upstream, std::unique_ptr<UpstreamChannel> channel,
                           Instant now) {
  const auto it = entries_.find(upstream);
  if (it == entries_.end() || !channel->reusable()) {
    discard(upstream, std::move(channel));
    return;
  }
  channel->onIdleEnd = [this, upstream, raw = channel.get()] {
    // A copy: the callback that holds the name is dropped within.
    dropIdle(UpstreamId(upstream), raw);
  };
  it->second.idle.push_back({std::move(channel), now});
}

void UpstreamPool::discard(const UpstreamId& upstream, std::unique_ptr<UpstreamChannel> channel) {
  channel->abort();
  destroy(std::move(channel));
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

void UpstreamPool::destroy(std::unique_ptr<UpstreamChannel> channel) {
  // The call may come out of a callback of that very channel, which lives until the next turn.
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

void UpstreamPool::sweep(Instant now) {
  std::vector<std::pair<UpstreamId, std::unique_ptr<UpstreamChannel>>> old;
  for (auto& [upstream, entry] : entries_) {
    for (Idle& idle : entry.idle) {
      if (now - idle.since < keptFor(*idle.channel)) continue;
      old.emplace_back(upstream, std::move(idle.channel));
    }
    std::erase_if(entry.idle, [](const Idle& idle) { return idle.channel == nullptr; });
  }
  for (auto& [upstream, channel] : old) discard(upstream, std::move(channel));
}

}  // namespace Hallchute
