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

/// Owners of one shard that are asked before the daemon decides alone.
constexpr std::size_t kOwnersAsked = 2;
/// Pause before a held grant is reported again after its stream closed.
constexpr Millis kReholdPause{300};
constexpr Millis kNoUpstreamRetryAfter{1'000};

Millis remaining(Instant deadline) {
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(deadline - clockNow()));
}

}  // namespace

/// One acquire() on its way.
struct GrantBroker::Wish {
  GrantSpec spec;
  std::vector<ShardKey> shards;
  std::size_t shardIndex = 0;
  std::size_t ownersAsked = 0;
  /// Raised whenever it is asked elsewhere, so that late words and timers count no more.
  std::uint64_t round = 0;
  bool acknowledged = false;
  PeerStreamPtr stream;
  GrantId localId = 0;
  ShardKey current;
  std::optional<Refusal> refusal;
  Instant since = clockNow();
  std::function<void(GrantOutcome)> done;
};

/// A place held by this daemon.
struct GrantBroker::Active {
  std::uint64_t key = 0;
  ShardKey shard;
  ExistingGrant held;
  /// The owner it is counted at; empty stream and owner self: counted here.
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
  auto wish = std::make_shared<Wish>();
  wish->spec = spec;
  wish->done = [&promise](GrantOutcome outcome) { promise.set_value(std::move(outcome)); };
  loop_.post([this, wish] { start(wish); });
  return promise.get_future().get();
}

std::vector<ShardKey> GrantBroker::shardsFor(const GrantSpec& spec) const {
  std::vector<ShardKey> shards;
  const DomainName& home = membership_.self().domain;
  const auto add = [&](const DomainName& domain) {
    const std::size_t live = directory_.live(spec.service, domain).size();
    if (live == 0) return;
    for (const std::uint32_t index : shardOrder(spec.wanted.affinity, shardCount(live))) {
      shards.push_back({spec.service, domain, index});
    }
  };
  add(home);
  for (const DomainName& domain : directory_.domainsOf(spec.service)) {
    if (domain != home) add(domain);
  }
  return shards;
}

std::optional<DaemonId> GrantBroker::ownerOf(const ShardKey& shard) const {
  const std::vector<DaemonId> owners = membership_.owners(shard.domain);
  if (owners.empty()) return std::nullopt;
  return rankOwners(shard.text(), owners).front();
}

void GrantBroker::start(const WishPtr& wish) {
  wish->shards = shardsFor(wish->spec);
  askNext(wish);
}

void GrantBroker::askNext(const WishPtr& wish) {
  ++wish->round;
  wish->acknowledged = false;
  wish->stream = nullptr;
  if (wish->shardIndex >= wish->shards.size()) {
    const Refusal none{RefusalReason::noUpstream, "no upstream of the service is known to live",
                       RunOutcome::notRun, kNoUpstreamRetryAfter};
    finish(wish, wish->refusal.value_or(none));
    return;
  }
  ShardKey shard = wish->shards[wish->shardIndex];
  const bool home = shard.domain == membership_.self().domain;
  const std::vector<DaemonId> ranked = rankOwners(shard.text(), membership_.owners(shard.domain));
  if (wish->ownersAsked >= std::min(kOwnersAsked, ranked.size())) {
    if (home) {
      shard.index = ShardOwners::kFallbackIndex;
      metrics_.add("hallchute_grants_alone_total", "");
      askLocal(wish, shard);
      return;
    }
    ++wish->shardIndex;
    wish->ownersAsked = 0;
    askNext(wish);
    return;
  }
  const DaemonId& owner = ranked[wish->ownersAsked++];
  if (owner == membership_.self().id) {
    askLocal(wish, shard);
  } else {
    askPeer(wish, shard, membership_.find(owner)->status.address);
  }
}

void GrantBroker::askLocal(const WishPtr& wish, const ShardKey& shard) {
  wish->current = shard;
  wish->localId = owners_.newId();
  wish->acknowledged = true;
  GrantRequest wanted = wish->spec.wanted;
  wanted.id = wish->localId;
  const auto sink = [this, wish](const GrantAction& action) {
    std::visit(Overloaded{[&](const Granted& g) { grant(wish, g.upstream); }, [](const Queued&) {},
                          [&](const GrantRefused& r) {
                            owners_.release(wish->current, r.id, GrantEnd::cancelled, clockNow());
                            onRefused(wish, r.refusal);
                          }},
               action);
  };
  owners_.requestGrant(shard, std::move(wanted), sink, clockNow());
}

void GrantBroker::askPeer(const WishPtr& wish, const ShardKey& shard, const std::string& address) {
  wish->current = shard;
  wish->localId = 0;
  const GrantRequestMessage request{shard, wish->spec.wanted,
                                    remaining(wish->spec.wanted.deadline)};
  const std::uint64_t round = wish->round;
  wish->stream = transport_.open(address, PeerPath::kGrant, pack(request));
  wish->stream->onMessage = [this, wish, round](std::string_view bytes) {
    if (wish->round != round) return;
    if (const auto reply = unpack<GrantReplyMessage>(bytes)) onReply(wish, *reply);
  };
  wish->stream->onClosed = [this, wish, round] {
    if (wish->round == round) askNext(wish);
  };
  const PolicyScope scope{membership_.self().domain, shard.service, OrganisationName()};
  const Millis limit(settings_.get()->tree.policy(PolicyKey::ownerAnswerMs, scope));
  loop_.after(limit, [this, wish, round] {
    if (wish->round != round || wish->acknowledged) return;
    wish->stream->close();
    askNext(wish);
  });
  // A queued wish whose owner then falls silent is answered all the same.
  loop_.after(remaining(wish->spec.wanted.deadline) + limit, [this, wish, round] {
    if (wish->round != round || !wish->done) return;
    wish->stream->close();
    onRefused(wish, {RefusalReason::overloaded, "the shard's owner fell silent", RunOutcome::notRun,
                     kNoUpstreamRetryAfter});
  });
}

void GrantBroker::onReply(const WishPtr& wish, const GrantReplyMessage& reply) {
  wish->acknowledged = true;
  switch (reply.kind) {
    case GrantReplyKind::queued:
      return;
    case GrantReplyKind::granted:
      grant(wish, reply.upstream);
      return;
    case GrantReplyKind::refused:
      wish->stream->close();
      onRefused(wish, reply.refusal);
      return;
  }
}

void GrantBroker::onRefused(const WishPtr& wish, const Refusal& refusal) {
  if (!wish->refusal || wish->refusal->reason == RefusalReason::noUpstream) {
    wish->refusal = refusal;
  }
  const bool elsewhere =
      refusal.reason == RefusalReason::noUpstream || refusal.reason == RefusalReason::overloaded;
  if (!elsewhere || clockNow() >= wish->spec.wanted.deadline) {
    finish(wish, refusal);
    return;
  }
  ++wish->shardIndex;
  wish->ownersAsked = 0;
  askNext(wish);
}

void GrantBroker::finish(const WishPtr& wish, GrantOutcome outcome) {
  ++wish->round;
  const auto done = std::move(wish->done);
  wish->done = nullptr;
  if (done) done(std::move(outcome));
}

void GrantBroker::grant(const WishPtr& wish, const UpstreamId& upstream) {
  const UpstreamInfo* info = directory_.find(upstream);
  auto active = std::make_shared<Active>();
  active->key = nextKey_++;
  active->shard = wish->current;
  active->held = {0, upstream, wish->spec.wanted.organisation,
                  wish->spec.wanted.promptTokens + wish->spec.wanted.expectedTokens};
  active->stream = wish->stream;
  active->localId = wish->localId;
  active->owner =
      wish->localId != 0 ? membership_.self().id : ownerOf(wish->current).value_or(DaemonId());
  active_[active->key] = active;
  if (active->stream) {
    active->stream->onMessage = nullptr;
    active->stream->onClosed = [this, active] {
      active->stream = nullptr;
      loop_.after(kReholdPause, [this, active] { holdAt(active); });
    };
  }
  metrics_.add(active->stream ? "hallchute_grants_remote_total" : "hallchute_grants_local_total",
               "");
  const auto waited = clockNow() - wish->since;
  metrics_.time("hallchute_queue_ms", "service=\"" + wish->spec.service.str() + "\"", waited);
  if (info == nullptr) {
    release(active->key, GrantEnd::cancelled);
    finish(wish, Refusal{RefusalReason::noUpstream, "granted an upstream that is not known here",
                         RunOutcome::notRun, kNoUpstreamRetryAfter});
    return;
  }
  auto hold = std::make_unique<ScopedGrant>(
      upstream, info->host.address,
      [this, key = active->key] { loop_.post([this, key] { noteFirstToken(key); }); },
      [this, key = active->key](GrantEnd end) {
        loop_.post([this, key, end] { release(key, end); });
      });
  finish(wish, std::move(hold));
}

void GrantBroker::noteFirstToken(std::uint64_t key) {
  const auto it = active_.find(key);
  if (it == active_.end()) return;
  const Active& active = *it->second;
  if (active.localId != 0) owners_.noteFirstToken(active.shard, active.localId, clockNow());
  if (active.stream) active.stream->send(pack(GrantProgressMessage{false, GrantEnd::cancelled}));
}

void GrantBroker::release(std::uint64_t key, GrantEnd end) {
  const auto it = active_.find(key);
  if (it == active_.end()) return;
  const ActivePtr active = it->second;
  active_.erase(it);
  if (active->localId != 0) owners_.release(active->shard, active->localId, end, clockNow());
  if (active->stream) {
    active->stream->onClosed = nullptr;
    active->stream->send(pack(GrantProgressMessage{true, end}));
    active->stream->finish();
  }
}

void GrantBroker::onOwnersChanged() {
  owners_.setDaemonCount(membership_.owners(membership_.self().domain).size());
  for (const auto& [key, active] : active_) {
    if (active->shard.index == ShardOwners::kFallbackIndex) continue;
    const auto owner = ownerOf(active->shard);
    if (!owner || *owner == active->owner) continue;
    if (active->localId != 0) {
      owners_.release(active->shard, active->localId, GrantEnd::cancelled, clockNow());
      active->localId = 0;
    }
    if (active->stream) active->stream->close();
    active->stream = nullptr;
    holdAt(active);
  }
}

/// Counts a running grant at the shard's present owner.
void GrantBroker::holdAt(const ActivePtr& active) {
  if (!active_.contains(active->key) || active->stream || active->localId != 0) return;
  const auto owner = ownerOf(active->shard);
  if (!owner) return;
  active->owner = *owner;
  if (*owner == membership_.self().id) {
    active->localId = owners_.newId();
    ExistingGrant held = active->held;
    held.id = active->localId;
    owners_.hold(active->shard, held, clockNow());
    return;
  }
  const std::string address = membership_.find(*owner)->status.address;
  active->stream = transport_.open(address, PeerPath::kReregisterGrant,
                                   pack(ReregisterGrantMessage{active->shard, active->held}));
  active->stream->onClosed = [this, active] {
    active->stream = nullptr;
    loop_.after(kReholdPause, [this, active] { holdAt(active); });
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
  const std::weak_ptr<PeerStream> weak = stream;
  stream->onMessage = [this, served, weak](std::string_view bytes) {
    const PeerStreamPtr open = weak.lock();
    if (!open) return;
    if (served->id != 0) {
      const auto note = unpack<GrantProgressMessage>(bytes);
      if (note && note->ended) served->end = note->end;
      if (note && !note->ended) owners_.noteFirstToken(served->shard, served->id, clockNow());
      return;
    }
    const auto request = unpack<GrantRequestMessage>(bytes);
    if (!request) {
      open->close();
      return;
    }
    served->shard = request->shard;
    served->id = owners_.newId();
    GrantRequest wanted = request->wanted;
    wanted.id = served->id;
    wanted.deadline = clockNow() + request->remaining;
    const auto sink = [weak](const GrantAction& action) {
      const PeerStreamPtr to = weak.lock();
      if (!to) return;
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
      to->send(pack(reply));
    };
    owners_.requestGrant(served->shard, std::move(wanted), sink, clockNow());
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
