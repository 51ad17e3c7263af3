// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/GrantBroker.h"

#include <algorithm>
#include <future>

#include "Hallchute/src/Core/Overloaded.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Daemon/ShardOwners.h"
#include "Hallchute/src/Membership/Membership.h"
#include "Hallchute/src/Membership/UpstreamDirectory.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Net/PeerTransport.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Routing/Rendezvous.h"

namespace Hallchute {
namespace {

/// Owners of a shard that are tried before this daemon decides alone.
constexpr std::size_t kMaxOwnersTried = 2;
/// Delay before an active grant is reported again after its stream closed.
constexpr Millis kReportRetryDelay{300};
constexpr Millis kNoUpstreamRetryAfter{1'000};

Millis remaining(Instant deadline) {
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(deadline - clockNow()));
}

}  // namespace

/// The state of one acquire() call that has not returned.
struct GrantBroker::PendingRequest {
  GrantSpec spec;
  std::vector<ShardKey> shards;
  std::size_t shardIndex = 0;
  std::size_t ownersTried = 0;
  /// Incremented with each attempt; replies and timers of earlier attempts are ignored.
  std::uint64_t attempt = 0;
  bool acknowledged = false;
  PeerStreamPtr stream;
  GrantId localId = 0;
  ShardKey currentShard;
  std::optional<Refusal> refusal;
  Instant createdAt = clockNow();
  std::function<void(GrantOutcome)> onDone;
};

/// A slot at an upstream that is granted to this daemon.
struct GrantBroker::ActiveGrant {
  std::uint64_t key = 0;
  ShardKey shard;
  ExistingGrant existing;
  /// The shard owner that counts the grant. This daemon itself if `localId` is set.
  DaemonId owner;
  PeerStreamPtr stream;
  GrantId localId = 0;
};

GrantBroker::GrantBroker(EventLoop& loop, PeerTransport& transport, const Membership& membership,
                         const UpstreamDirectory& directory, const SettingsStore& settings,
                         ShardOwners& owners, Metrics& metrics)
    : loop_(loop),
      transport_(transport),
      membership_(membership),
      directory_(directory),
      settings_(settings),
      owners_(owners),
      metrics_(metrics) {
  transport_.serve(PeerPath::kGrant, [this](const PeerStreamPtr& s) { serveGrant(s); });
  transport_.serve(PeerPath::kReregisterGrant, [this](const PeerStreamPtr& s) { serveHold(s); });
}

GrantBroker::~GrantBroker() = default;

GrantOutcome GrantBroker::acquire(const GrantSpec& spec) {
  std::promise<GrantOutcome> promise;
  auto pending = std::make_shared<PendingRequest>();
  pending->spec = spec;
  pending->onDone = [&promise](GrantOutcome outcome) { promise.set_value(std::move(outcome)); };
  loop_.post([this, pending] { start(pending); });
  return promise.get_future().get();
}

std::vector<ShardKey> GrantBroker::shardsFor(const GrantSpec& spec) const {
  std::vector<ShardKey> shards;
  const FailureDomainName& ownDomain = membership_.self().domain;
  const auto add = [&](const FailureDomainName& domain) {
    const std::size_t live = directory_.live(spec.service, domain).size();
    if (live == 0) return;
    for (const std::uint32_t index : shardOrder(spec.wanted.affinity, shardCount(live))) {
      shards.push_back({spec.service, domain, index});
    }
  };
  add(ownDomain);
  for (const FailureDomainName& domain : directory_.domainsOf(spec.service)) {
    if (domain != ownDomain) add(domain);
  }
  return shards;
}

std::optional<DaemonId> GrantBroker::ownerOf(const ShardKey& shard) const {
  const std::vector<DaemonId> owners = membership_.owners(shard.domain);
  if (owners.empty()) return std::nullopt;
  return rankOwners(shard.text(), owners).front();
}

void GrantBroker::start(const PendingRequestPtr& pending) {
  pending->shards = shardsFor(pending->spec);
  requestFromNextOwner(pending);
}

void GrantBroker::requestFromNextOwner(const PendingRequestPtr& pending) {
  ++pending->attempt;
  pending->acknowledged = false;
  pending->stream = nullptr;
  if (pending->shardIndex >= pending->shards.size()) {
    const Refusal none{RefusalReason::noUpstream, "no upstream of the service is known to live",
                       RunOutcome::notRun, kNoUpstreamRetryAfter};
    finish(pending, pending->refusal.value_or(none));
    return;
  }
  ShardKey shard = pending->shards[pending->shardIndex];
  const bool isOwnDomain = shard.domain == membership_.self().domain;
  const std::vector<DaemonId> ranked = rankOwners(shard.text(), membership_.owners(shard.domain));
  if (pending->ownersTried >= std::min(kMaxOwnersTried, ranked.size())) {
    if (isOwnDomain) {
      shard.index = ShardOwners::kFallbackIndex;
      metrics_.add("hallchute_grants_alone_total", "");
      requestLocally(pending, shard);
      return;
    }
    ++pending->shardIndex;
    pending->ownersTried = 0;
    requestFromNextOwner(pending);
    return;
  }
  const DaemonId& owner = ranked[pending->ownersTried++];
  if (owner == membership_.self().id) {
    requestLocally(pending, shard);
  } else {
    requestFromPeer(pending, shard, membership_.find(owner)->status.address);
  }
}

void GrantBroker::requestLocally(const PendingRequestPtr& pending, const ShardKey& shard) {
  pending->currentShard = shard;
  pending->localId = owners_.newId();
  pending->acknowledged = true;
  GrantRequest wanted = pending->spec.wanted;
  wanted.id = pending->localId;
  const auto onAction = [this, pending](const GrantAction& action) {
    std::visit(
        Overloaded{[&](const Granted& g) { onGranted(pending, g.upstream); }, [](const Queued&) {},
                   [&](const GrantRefused& r) {
                     owners_.release(pending->currentShard, r.id, GrantEnd::cancelled, clockNow());
                     onRefused(pending, r.refusal);
                   }},
        action);
  };
  owners_.requestGrant(shard, std::move(wanted), onAction, clockNow());
}

void GrantBroker::requestFromPeer(const PendingRequestPtr& pending, const ShardKey& shard,
                                  const std::string& address) {
  pending->currentShard = shard;
  pending->localId = 0;
  const GrantRequestMessage request{shard, pending->spec.wanted,
                                    remaining(pending->spec.wanted.deadline)};
  const std::uint64_t attempt = pending->attempt;
  pending->stream = transport_.open(address, PeerPath::kGrant, pack(request));
  pending->stream->onMessage = [this, pending, attempt](std::string_view bytes) {
    if (pending->attempt != attempt) return;
    if (const auto reply = unpack<GrantReplyMessage>(bytes)) onReply(pending, *reply);
  };
  pending->stream->onClosed = [this, pending, attempt] {
    if (pending->attempt == attempt) requestFromNextOwner(pending);
  };
  const PolicyScope scope{membership_.self().domain, shard.service, OrganisationName()};
  const Millis limit(settings_.get()->tree.policy(PolicyKey::ownerAnswerMs, scope));
  loop_.after(limit, [this, pending, attempt] {
    if (pending->attempt != attempt || pending->acknowledged) return;
    pending->stream->close();
    requestFromNextOwner(pending);
  });
  // Ends a queued request whose owner stops responding.
  loop_.after(remaining(pending->spec.wanted.deadline) + limit, [this, pending, attempt] {
    if (pending->attempt != attempt || !pending->onDone) return;
    pending->stream->close();
    onRefused(pending, {RefusalReason::overloaded, "the shard's owner fell silent",
                        RunOutcome::notRun, kNoUpstreamRetryAfter});
  });
}

void GrantBroker::onReply(const PendingRequestPtr& pending, const GrantReplyMessage& reply) {
  pending->acknowledged = true;
  switch (reply.kind) {
    case GrantReplyKind::queued:
      return;
    case GrantReplyKind::granted:
      onGranted(pending, reply.upstream);
      return;
    case GrantReplyKind::refused:
      pending->stream->close();
      onRefused(pending, reply.refusal);
      return;
  }
}

void GrantBroker::onRefused(const PendingRequestPtr& pending, const Refusal& refusal) {
  if (!pending->refusal || pending->refusal->reason == RefusalReason::noUpstream) {
    pending->refusal = refusal;
  }
  const bool elsewhere =
      refusal.reason == RefusalReason::noUpstream || refusal.reason == RefusalReason::overloaded;
  if (!elsewhere || clockNow() >= pending->spec.wanted.deadline) {
    finish(pending, refusal);
    return;
  }
  ++pending->shardIndex;
  pending->ownersTried = 0;
  requestFromNextOwner(pending);
}

void GrantBroker::finish(const PendingRequestPtr& pending, GrantOutcome outcome) {
  ++pending->attempt;
  const auto onDone = std::move(pending->onDone);
  pending->onDone = nullptr;
  if (onDone) onDone(std::move(outcome));
}

void GrantBroker::onGranted(const PendingRequestPtr& pending, const UpstreamId& upstream) {
  const UpstreamInfo* upstreamInfo = directory_.find(upstream);
  auto active = std::make_shared<ActiveGrant>();
  active->key = nextKey_++;
  active->shard = pending->currentShard;
  active->existing = {0, upstream, pending->spec.wanted.organisation,
                      pending->spec.wanted.promptTokens + pending->spec.wanted.expectedTokens};
  active->stream = pending->stream;
  active->localId = pending->localId;
  active->owner = pending->localId != 0 ? membership_.self().id
                                        : ownerOf(pending->currentShard).value_or(DaemonId());
  activeGrants_[active->key] = active;
  if (active->stream) {
    active->stream->onMessage = nullptr;
    active->stream->onClosed = [this, active] {
      active->stream = nullptr;
      loop_.after(kReportRetryDelay, [this, active] { reportToOwner(active); });
    };
  }
  metrics_.add(active->stream ? "hallchute_grants_remote_total" : "hallchute_grants_local_total",
               "");
  const auto waited = clockNow() - pending->createdAt;
  metrics_.time("hallchute_queue_ms", "service=\"" + pending->spec.service.str() + "\"", waited);
  if (upstreamInfo == nullptr) {
    release(active->key, GrantEnd::cancelled);
    finish(pending, Refusal{RefusalReason::noUpstream, "granted an upstream that is not known here",
                            RunOutcome::notRun, kNoUpstreamRetryAfter});
    return;
  }
  auto hold = std::make_unique<ScopedGrant>(
      upstream, upstreamInfo->host.address,
      [this, key = active->key] { loop_.post([this, key] { noteFirstToken(key); }); },
      [this, key = active->key](GrantEnd end) {
        loop_.post([this, key, end] { release(key, end); });
      });
  finish(pending, std::move(hold));
}

void GrantBroker::noteFirstToken(std::uint64_t key) {
  const auto it = activeGrants_.find(key);
  if (it == activeGrants_.end()) return;
  const ActiveGrant& active = *it->second;
  if (active.localId != 0) owners_.noteFirstToken(active.shard, active.localId, clockNow());
  if (active.stream) active.stream->send(pack(GrantProgressMessage{false, GrantEnd::cancelled}));
}

void GrantBroker::release(std::uint64_t key, GrantEnd end) {
  const auto it = activeGrants_.find(key);
  if (it == activeGrants_.end()) return;
  const ActiveGrantPtr active = it->second;
  activeGrants_.erase(it);
  if (active->localId != 0) owners_.release(active->shard, active->localId, end, clockNow());
  if (active->stream) {
    active->stream->onClosed = nullptr;
    active->stream->send(pack(GrantProgressMessage{true, end}));
    active->stream->finish();
  }
}

void GrantBroker::onOwnersChanged() {
  owners_.setDaemonCount(membership_.owners(membership_.self().domain).size());
  for (const auto& [key, active] : activeGrants_) {
    if (active->shard.index == ShardOwners::kFallbackIndex) continue;
    const auto owner = ownerOf(active->shard);
    if (!owner || *owner == active->owner) continue;
    if (active->localId != 0) {
      owners_.release(active->shard, active->localId, GrantEnd::cancelled, clockNow());
      active->localId = 0;
    }
    if (active->stream) active->stream->close();
    active->stream = nullptr;
    reportToOwner(active);
  }
}

/// Reports an active grant to the current owner of its shard, which counts it from then on.
void GrantBroker::reportToOwner(const ActiveGrantPtr& active) {
  if (!activeGrants_.contains(active->key) || active->stream || active->localId != 0) return;
  const auto owner = ownerOf(active->shard);
  if (!owner) return;
  active->owner = *owner;
  if (*owner == membership_.self().id) {
    active->localId = owners_.newId();
    ExistingGrant existing = active->existing;
    existing.id = active->localId;
    owners_.hold(active->shard, existing, clockNow());
    return;
  }
  const std::string address = membership_.find(*owner)->status.address;
  active->stream = transport_.open(address, PeerPath::kReregisterGrant,
                                   pack(ReregisterGrantMessage{active->shard, active->existing}));
  active->stream->onClosed = [this, active] {
    active->stream = nullptr;
    loop_.after(kReportRetryDelay, [this, active] { reportToOwner(active); });
  };
}

void GrantBroker::serveGrant(const PeerStreamPtr& stream) {
  struct Served {
    ShardKey shard;
    GrantId id = 0;
    GrantEnd end = GrantEnd::cancelled;
  };
  auto served = std::make_shared<Served>();
  stream->onClosed = [this, served] {
    if (served->id != 0) owners_.release(served->shard, served->id, served->end, clockNow());
  };
  const std::weak_ptr<PeerStream> weakStream = stream;
  stream->onMessage = [this, served, weakStream](std::string_view bytes) {
    const PeerStreamPtr openStream = weakStream.lock();
    if (!openStream) return;
    if (served->id != 0) {
      const auto note = unpack<GrantProgressMessage>(bytes);
      if (note && note->ended) served->end = note->end;
      if (note && !note->ended) owners_.noteFirstToken(served->shard, served->id, clockNow());
      return;
    }
    const auto request = unpack<GrantRequestMessage>(bytes);
    if (!request) {
      openStream->close();
      return;
    }
    served->shard = request->shard;
    served->id = owners_.newId();
    GrantRequest wanted = request->wanted;
    wanted.id = served->id;
    wanted.deadline = clockNow() + request->remaining;
    const auto onAction = [weakStream](const GrantAction& action) {
      const PeerStreamPtr replyStream = weakStream.lock();
      if (!replyStream) return;
      GrantReplyMessage reply;
      std::visit(Overloaded{[&](const Granted& g) {
                              reply.kind = GrantReplyKind::granted;
                              reply.upstream = g.upstream;
                            },
                            [](const Queued&) {},
                            [&](const GrantRefused& r) {
                              reply.kind = GrantReplyKind::refused;
                              reply.refusal = r.refusal;
                            }},
                 action);
      replyStream->send(pack(reply));
    };
    owners_.requestGrant(served->shard, std::move(wanted), onAction, clockNow());
  };
}

void GrantBroker::serveHold(const PeerStreamPtr& stream) {
  auto held = std::make_shared<std::optional<ReregisterGrantMessage>>();
  auto end = std::make_shared<GrantEnd>(GrantEnd::cancelled);
  stream->onClosed = [this, held, end] {
    if (*held) owners_.release((*held)->shard, (*held)->held.id, *end, clockNow());
  };
  stream->onMessage = [this, held, end](std::string_view bytes) {
    if (*held) {
      const auto note = unpack<GrantProgressMessage>(bytes);
      if (note && note->ended) *end = note->end;
      return;
    }
    *held = unpack<ReregisterGrantMessage>(bytes);
    if (!*held) return;
    (*held)->held.id = owners_.newId();
    owners_.hold((*held)->shard, (*held)->held, clockNow());
  };
}

}  // namespace Hallchute
