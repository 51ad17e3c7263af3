// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_SHARDOWNERS_H
#define HALLCHUTE_DAEMON_SHARDOWNERS_H

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "Hallchute/src/Admission/ShardOwner.h"
#include "Hallchute/src/Routing/ShardKey.h"

namespace Hallchute {

class SettingsStore;
class UpstreamDirectory;

/// \brief The shards that this daemon owns, or is asked for all the same. Loop thread only.
/// \ingroup Daemon
///
/// A shard is served whoever asks: while daemons disagree on the members, two may own a shard for a
/// moment, which costs load and nothing else.
class ShardOwners {
 public:
  using Sink = std::function<void(const GrantAction&)>;

  /// \brief The index of the shard of all upstreams of a domain on which a daemon decides alone
  /// while no owner answers.
  static constexpr std::uint32_t kFallbackIndex = UINT32_MAX;

  ShardOwners(const SettingsStore& settings, const UpstreamDirectory& directory);
  ~ShardOwners();
  ShardOwners(const ShardOwners&) = delete;
  ShardOwners& operator=(const ShardOwners&) = delete;

  GrantId newId() { return nextId_++; }
  /// \brief Asks for a place; \p sink is told each action until release().
  void requestGrant(const ShardKey& shard, GrantRequest wanted, Sink sink, Instant now);
  void hold(const ShardKey& shard, const ExistingGrant& held, Instant now);
  void release(const ShardKey& shard, GrantId id, GrantEnd end, Instant now);
  void noteFirstToken(const ShardKey& shard, GrantId id, Instant now);
  /// \brief The upstreams or the settings have changed.
  void refresh(Instant now);
  void tick(Instant now);
  /// \brief Daemons that share a domain's upstreams, for the share of one that decides alone.
  void setDaemonCount(std::size_t sharers) { sharers_ = sharers; }

  struct Load {
    ShardKey shard;
    std::size_t queued = 0;
    std::size_t inFlight = 0;
    std::size_t usable = 0;
  };
  std::vector<Load> loads(Instant now) const;

 private:
  ShardOwner& ownerOf(const ShardKey& shard, Instant now);
  ShardPolicy policyOf(const ShardKey& shard) const;
  std::vector<UpstreamId> upstreamsOf(const ShardKey& shard) const;
  void dispatch(const std::vector<GrantAction>& actions);

  const SettingsStore& settings_;
  const UpstreamDirectory& directory_;
  std::map<ShardKey, std::unique_ptr<ShardOwner>> owners_;
  std::map<GrantId, Sink> sinks_;
  GrantId nextId_ = 1;
  std::size_t sharers_ = 1;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_SHARDOWNERS_H
