// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/OriginHolders.h"

#include <algorithm>
#include <optional>
#include <span>
#include <utility>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Fleet/FleetRoster.h"

namespace Hallchute {
namespace {

std::size_t shardCount(const FleetRoster& roster, Instant now) {
  return roster.isSmall(now) ? 1 : kArchiveShards;
}

/// The daemons that archive a shard.
std::vector<FleetMember> archiversOf(std::size_t shard, std::vector<FleetMember> watchers) {
  const std::size_t count = std::min(kArchiversPerShard, watchers.size());
  const auto end = watchers.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(watchers.begin(), end, watchers.end(),
                    [shard](const FleetMember& a, const FleetMember& b) {
                      return stableHash(a.daemon.str(), shard) > stableHash(b.daemon.str(), shard);
                    });
  watchers.resize(count);
  return watchers;
}

bool contains(std::span<const FleetMember> members, const DaemonId& daemon) {
  return std::any_of(members.begin(), members.end(),
                     [&](const FleetMember& member) { return member.daemon == daemon; });
}

void addArchivers(const FleetRoster& roster, StreamKey stream, std::vector<FleetMember>& holders,
                  Instant now) {
  const std::size_t shard = ArchiveShards::shardOf(stream, shardCount(roster, now));
  for (const FleetMember& archiver : archiversOf(shard, roster.storeWatchers(now))) {
    const bool added =
        archiver.daemon == roster.self().daemon || contains(holders, archiver.daemon);
    if (!added) holders.push_back(archiver);
  }
}

}  // namespace

std::vector<FleetMember> originHolders(const FleetRoster& roster, StreamKey stream,
                                       std::size_t most, Instant now) {
  std::vector<std::pair<std::uint64_t, const FleetMember*>> ranked;
  for (const auto& [daemon, peer] : roster.peers()) {
    if (!peer.alive(now)) continue;
    const std::uint64_t rank = stableHash(daemon.str(), static_cast<std::uint64_t>(stream));
    ranked.emplace_back(rank, &peer.report.self);
  }
  const bool some = !roster.isSmall(now) && ranked.size() > most;
  if (some) {
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(most);
    std::nth_element(ranked.begin(), end, ranked.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    ranked.erase(end, ranked.end());
  }
  std::vector<FleetMember> holders;
  holders.reserve(ranked.size() + kArchiversPerShard);
  for (const auto& [rank, member] : ranked) holders.push_back(*member);
  if (some) addArchivers(roster, stream, holders, now);
  return holders;
}

ArchiveShards archiveShards(const FleetRoster& roster, Instant now) {
  ArchiveShards shards;
  shards.count = shardCount(roster, now);
  // Until then each daemon would take itself for the only one.
  if (!roster.discoveryComplete(now)) return shards;
  const std::vector<FleetMember> watchers = roster.storeWatchers(now);
  for (std::size_t shard = 0; shard < shards.count; ++shard) {
    if (contains(archiversOf(shard, watchers), roster.self().daemon)) shards.owned.insert(shard);
  }
  return shards;
}

}  // namespace Hallchute
