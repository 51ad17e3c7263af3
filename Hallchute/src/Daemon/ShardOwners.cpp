// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/ShardOwners.h"

#include <algorithm>

#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Membership/UpstreamDirectory.h"

namespace Hallchute {
namespace {

constexpr double kPercent = 100;

GrantId idOf(const GrantAction& action) {
  return std::visit([](const auto& a) { return a.id; }, action);
}

}  // namespace

ShardOwners::ShardOwners(const SettingsStore& settings, const UpstreamDirectory& directory)
    : settings_(settings), directory_(directory) {}

ShardOwners::~ShardOwners() = default;

ShardPolicy ShardOwners::policyOf(const ShardKey& shard) const {
  const auto activeSettings = settings_.get();
  const PolicyScope scope{shard.domain, shard.service, OrganisationName()};
  const auto number = [&](PolicyKey key) {
    return static_cast<std::size_t>(activeSettings->tree.policy(key, scope));
  };
  ShardPolicy policy;
  policy.maxQueue = number(PolicyKey::maxQueue);
  policy.maxInFlightPerUpstream = number(PolicyKey::maxInFlightPerUpstream);
  policy.maxPrefillTokensPerUpstream = number(PolicyKey::maxPrefillTokensPerUpstream);
  policy.organisationInFlight = number(PolicyKey::organisationInFlight);
  policy.organisationTokensPerSecond =
      static_cast<double>(number(PolicyKey::organisationTokensPerSecond));
  policy.prefixTokensPerUpstream = number(PolicyKey::prefixTokensPerUpstream);
  policy.aging = Millis(number(PolicyKey::agingMs));
  policy.choice =
      PrefixAffinity{static_cast<double>(number(PolicyKey::loadBoundPercent)) / kPercent};
  if (shard.index == kFallbackIndex) {
    policy.maxInFlightPerUpstream = std::max<std::size_t>(
        1, policy.maxInFlightPerUpstream / std::max<std::size_t>(1, sharers_));
  }
  return policy;
}

std::vector<UpstreamId> ShardOwners::upstreamsOf(const ShardKey& shard) const {
  std::vector<UpstreamId> live = directory_.live(shard.service, shard.domain);
  if (shard.index == kFallbackIndex) return live;
  const std::uint32_t count = shardCount(live.size());
  std::erase_if(live, [&](const UpstreamId& id) { return shardOf(id, count) != shard.index; });
  return live;
}

ShardOwner& ShardOwners::ownerOf(const ShardKey& shard, Instant now) {
  auto& owner = owners_[shard];
  if (!owner) {
    owner = std::make_unique<ShardOwner>(policyOf(shard));
    owner->setUpstreams(upstreamsOf(shard), now);
  }
  return *owner;
}

void ShardOwners::requestGrant(const ShardKey& shard, GrantRequest wanted, Sink sink, Instant now) {
  sinks_[wanted.id] = std::move(sink);
  dispatch(ownerOf(shard, now).requestGrant(std::move(wanted), now));
}

void ShardOwners::hold(const ShardKey& shard, const ExistingGrant& held, Instant now) {
  ownerOf(shard, now).hold(held);
}

void ShardOwners::release(const ShardKey& shard, GrantId id, GrantEnd end, Instant now) {
  sinks_.erase(id);
  const auto it = owners_.find(shard);
  if (it != owners_.end()) dispatch(it->second->release(id, end, now));
}

void ShardOwners::noteFirstToken(const ShardKey& shard, GrantId id, Instant now) {
  const auto it = owners_.find(shard);
  if (it != owners_.end()) dispatch(it->second->noteFirstToken(id, now));
}

void ShardOwners::refresh(Instant now) {
  for (auto& [shard, owner] : owners_) {
    owner->setPolicy(policyOf(shard));
    dispatch(owner->setUpstreams(upstreamsOf(shard), now));
  }
}

void ShardOwners::tick(Instant now) {
  for (auto& [shard, owner] : owners_) dispatch(owner->tick(now));
  std::erase_if(owners_, [&](const auto& entry) {
    const ShardOwner& owner = *entry.second;
    return owner.usableUpstreams(now) == 0 && owner.queued() == 0 && owner.inFlight() == 0;
  });
}

void ShardOwners::dispatch(const std::vector<GrantAction>& actions) {
  for (const GrantAction& action : actions) {
    const auto it = sinks_.find(idOf(action));
    if (it == sinks_.end()) continue;
    // The sink may release its grant, which erases it here.
    const Sink sink = it->second;
    sink(action);
  }
}

std::vector<ShardOwners::Load> ShardOwners::loads(Instant now) const {
  std::vector<Load> loads;
  for (const auto& [shard, owner] : owners_) {
    loads.push_back({shard, owner->queued(), owner->inFlight(), owner->usableUpstreams(now)});
  }
  return loads;
}

}  // namespace Hallchute
