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

/// \brief Requests slots at upstreams from the shard owners; serves the requests of other daemons.
/// \ingroup Daemon
///
/// A request is sent to the owner of its shard, then to the owner ranked next if the first does not
/// answer. If no owner in its own domain answers, this daemon decides alone, on its share of the
/// slots. Shards of other domains are tried after those of the own domain have refused. Loop thread
/// only, except acquire().
class GrantBroker {
 public:
  GrantBroker(EventLoop& loop, PeerTransport& transport, const Membership& membership,
              const UpstreamDirectory& directory, const SettingsStore& settings,
              ShardOwners& owners, Metrics& metrics);
  ~GrantBroker();
  GrantBroker(const GrantBroker&) = delete;
  GrantBroker& operator=(const GrantBroker&) = delete;

  /// \brief Blocks until a slot is granted or refused. Any thread except the loop thread.
  GrantOutcome acquire(const GrantSpec& spec);
  /// \brief Reports the active grants of shards whose owner has changed to their new owner.
  void onOwnersChanged();
  /// \brief Number of active grants of this daemon.
  std::size_t activeCount() const { return activeGrants_.size(); }

 private:
  struct PendingRequest;
  struct ActiveGrant;
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;
  using ActiveGrantPtr = std::shared_ptr<ActiveGrant>;

  void start(const PendingRequestPtr& pending);
  void requestFromNextOwner(const PendingRequestPtr& pending);
  void requestLocally(const PendingRequestPtr& pending, const ShardKey& shard);
  void requestFromPeer(const PendingRequestPtr& pending, const ShardKey& shard,
                       const std::string& address);
  void onReply(const PendingRequestPtr& pending, const GrantReplyMessage& reply);
  void onRefused(const PendingRequestPtr& pending, const Refusal& refusal);
  void finish(const PendingRequestPtr& pending, GrantOutcome outcome);
  void onGranted(const PendingRequestPtr& pending, const UpstreamId& upstream);
  void noteFirstToken(std::uint64_t key);
  void release(std::uint64_t key, GrantEnd end);
  void reportToOwner(const ActiveGrantPtr& active);
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
  std::map<std::uint64_t, ActiveGrantPtr> activeGrants_;
  std::uint64_t nextKey_ = 1;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_GRANTBROKER_H
