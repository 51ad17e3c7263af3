// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_GRANTBROKER_H
#define HALLCHUTE_DAEMON_GRANTBROKER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Hallchute/src/Daemon/GrantSpec.h"
#include "Hallchute/src/Net/PeerMessages.h"
#include "Hallchute/src/Net/PeerStream.h"
#include "Hallchute/src/Routing/ShardKey.h"

namespace Hallchute {

class EventLoop;
class Membership;
class Metrics;
class PeerTransport;
class SettingsStore;
class ShardOwners;
class UpstreamDirectory;

/// \brief Gets places at upstreams from their shards' owners, and serves other daemons' wishes.
/// \ingroup Daemon
///
/// A wish goes to the owner of its shard, then to the next in rank if the first gives no word, and
/// in the own domain at last to this daemon alone, on a part of the places. Shards of other domains
/// follow when the own ones refuse. Loop thread only, but for acquire().
class GrantBroker {
 public:
  GrantBroker(EventLoop& loop, PeerTransport& transport, const Membership& membership,
              const UpstreamDirectory& directory, const SettingsStore& settings,
              ShardOwners& owners, Metrics& metrics);
  ~GrantBroker();
  GrantBroker(const GrantBroker&) = delete;
  GrantBroker& operator=(const GrantBroker&) = delete;

  /// \brief Blocks until a place is granted or refused. Any thread but the loop's.
  GrantOutcome acquire(const GrantSpec& spec);
  /// \brief Reports grants to owners that are new.
  void onOwnersChanged();
  std::size_t activeCount() const { return active_.size(); }

 private:
  struct Wish;
  struct Active;
  using WishPtr = std::shared_ptr<Wish>;
  using ActivePtr = std::shared_ptr<Active>;

  void start(const WishPtr& wish);
  void askNext(const WishPtr& wish);
  void askLocal(const WishPtr& wish, const ShardKey& shard);
  void askPeer(const WishPtr& wish, const ShardKey& shard, const std::string& address);
  void onReply(const WishPtr& wish, const GrantReplyMessage& reply);
  void onRefused(const WishPtr& wish, const Refusal& refusal);
  void finish(const WishPtr& wish, GrantOutcome outcome);
  void grant(const WishPtr& wish, const UpstreamId& upstream);
  void noteFirstToken(std::uint64_t key);
  void release(std::uint64_t key, GrantEnd end);
  void holdAt(const ActivePtr& active);
  std::optional<DaemonId> ownerOf(const ShardKey& shard) const;
  std::vector<ShardKey> shardsFor(const GrantSpec& spec) const;
  void serveGrant(const PeerStreamPtr& stream);
  void serveHold(const PeerStreamPtr& stream);

  EventLoop& loop_;
  PeerTransport& transport_;
  const Membership& membership_;
  const UpstreamDirectory& directory_;
  const SettingsStore& settings_;
  ShardOwners& owners_;
  Metrics& metrics_;
  std::map<std::uint64_t, ActivePtr> active_;
  std::uint64_t nextKey_ = 1;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_GRANTBROKER_H
