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

/// \brief The owners of all shards for which this daemon receives grant requests. Event loop thread
/// only.
/// \ingroup Daemon
///
/// Requests are served even if this daemon does not consider itself the shard's owner: while
/// daemons disagree on the members, two may own a shard for a short time, which adds load
/// but is otherwise harmless.
class ShardOwners {
 public:
  using GrantCallback = std::function<void(const GrantAction&)>;

  /// \brief Index of the fallback shard, which holds all upstreams of a domain: a daemon grants
  /// from it locally while no owner answers.
  static constexpr std::uint32_t kFallbackIndex = UINT32_MAX;

  ShardOwners(const SettingsStore& settings, const UpstreamDirectory& directory);
  ~ShardOwners();
  ShardOwners(const ShardOwners&) = delete;
  ShardOwners& operator=(const ShardOwners&) = delete;

  GrantId newId() { return nextId_++; }
  /// \brief Requests a slot at an upstream; \p callback receives every action until release().
  void requestGrant(const ShardKey& shard, GrantRequest wanted, GrantCallback callback,
                    Instant now);
  /// \brief Restores a grant that a previous owner made.
  void hold(const ShardKey& shard, const ExistingGrant& held, Instant now);
  void release(const ShardKey& shard, GrantId id, GrantEnd end, Instant now);
  void noteFirstToken(const ShardKey& shard, GrantId id, Instant now);
  /// \brief Applies the current upstreams and settings to all owners.
  void refresh(Instant now);
  void tick(Instant now);
  /// \brief Sets the number of daemons that share the domain's upstreams: each may use that
  /// fraction of their concurrency in its fallback shard.
  void setDaemonCount(std::size_t daemonCount) { daemonCount_ = daemonCount; }

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
  std::map<GrantId, GrantCallback> callbacks_;
  GrantId nextId_ = 1;
  std::size_t daemonCount_ = 1;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_SHARDOWNERS_H
