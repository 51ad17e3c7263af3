// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/StreamOrigins.h"

#include <algorithm>
#include <utility>

#include "Hallchute/src/Core/StableHash.h"

namespace Hallchute {

StreamKey StreamOrigins::keyOf(const RequestId& attempt) {
  return StreamKey{stableHash(attempt.str())};
}

StreamOrigins::Entry& StreamOrigins::entryOf(StreamKey stream) {
  if (entries_.size() >= kMaxStreams && !entries_.contains(stream)) evictOldest();
  return entries_[stream];
}

/// Removes the oldest quarter.
void StreamOrigins::evictOldest() {
  std::vector<std::pair<Instant, StreamKey>> ranked;
  ranked.reserve(entries_.size());
  for (const auto& [stream, entry] : entries_) ranked.emplace_back(entry.at, stream);
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(ranked.size() / 4);
  std::nth_element(ranked.begin(), end, ranked.end());
  for (auto it = ranked.begin(); it != end; ++it) entries_.erase(it->second);
}

void StreamOrigins::noteBegan(const StreamOrigin& origin, const UpstreamId& upstream, Instant now) {
  entryOf(origin.stream) = {origin, now, upstream};
}

void StreamOrigins::merge(std::span<const StreamOrigin> origins, Instant now) {
  for (const StreamOrigin& reported : origins) {
    const bool known = entries_.contains(reported.stream);
    Entry& entry = entryOf(reported.stream);
    entry.at = now;
    if (!known) {
      entry.origin = reported;
    } else if (entry.origin != reported) {
      entry.origin.version = {};
    }
  }
}

std::vector<StreamOrigin> StreamOrigins::noteReplaced(const UpstreamId& upstream, Instant since) {
  std::vector<StreamOrigin> unknown;
  for (auto& [stream, entry] : entries_) {
    if (entry.upstream != upstream || entry.at < since) continue;
    entry.origin.version = {};
    unknown.push_back(entry.origin);
  }
  return unknown;
}

const StreamOrigin* StreamOrigins::find(StreamKey stream) const {
  const auto it = entries_.find(stream);
  return it == entries_.end() ? nullptr : &it->second.origin;
}

std::vector<StreamOrigin> StreamOrigins::recorded(const ArchiveShards& shards,
                                                  Instant since) const {
  std::vector<std::pair<Instant, const StreamOrigin*>> ranked;
  for (const auto& [stream, entry] : entries_) {
    if (entry.at > since && shards.contains(stream)) ranked.emplace_back(entry.at, &entry.origin);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second->stream < b.second->stream;
  });
  std::vector<StreamOrigin> origins;
  origins.reserve(ranked.size());
  for (const auto& [at, origin] : ranked) origins.push_back(*origin);
  return origins;
}

void StreamOrigins::sweep(Instant now) {
  std::erase_if(entries_, [&](const auto& item) { return now - item.second.at > kRetention; });
}

}  // namespace Hallchute
