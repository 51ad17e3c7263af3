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

void StreamOrigins::noteListed(std::span<const UpstreamRecord> records, Instant now) {
  history_.noteListed(records, now);
}

void StreamOrigins::noteEarlier(std::span<const ServiceVersion> versions, Instant now) {
  history_.noteEarlier(versions, now);
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

bool StreamOrigins::noteBegan(const StreamOrigin& origin, const UpstreamId& upstream, Instant now) {
  Entry& entry = entryOf(origin.stream);
  entry = {origin, now, upstream, !soleVersion(origin.service, now)};
  if (!entry.reported) quietServices_.insert(origin.service);
  return entry.reported;
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

std::optional<SoftwareVersion> StreamOrigins::soleVersion(const ServiceName& service,
                                                          Instant now) const {
  if (!directoryCurrent_) return std::nullopt;
  return history_.sole(service, now);
}

std::optional<StreamOriginReply> StreamOrigins::reply(StreamKey stream, const ServiceName& service,
                                                      Instant now) const {
  if (const StreamOrigin* origin = find(stream)) return StreamOriginReply{*origin, true};
  const std::optional<SoftwareVersion> sole = soleVersion(service, now);
  if (!sole) return std::nullopt;
  return StreamOriginReply{{stream, service, *sole}, false};
}

std::vector<StreamOrigin> StreamOrigins::takeUnreported(Instant now) {
  std::set<ServiceName> ended;
  for (const ServiceName& service : quietServices_) {
    if (!soleVersion(service, now)) ended.insert(service);
  }
  if (ended.empty()) return {};
  std::vector<std::pair<Instant, Entry*>> ranked;
  for (auto& [stream, entry] : entries_) {
    if (entry.reported || entry.upstream.empty() || !ended.contains(entry.origin.service)) continue;
    ranked.emplace_back(entry.at, &entry);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a > b; });
  ranked.resize(std::min(ranked.size(), kMaxReportedAtOnce));
  std::vector<StreamOrigin> origins;
  origins.reserve(ranked.size());
  for (const auto& [at, entry] : ranked) {
    entry->reported = true;
    origins.push_back(entry->origin);
  }
  for (const ServiceName& service : ended) quietServices_.erase(service);
  return origins;
}

void StreamOrigins::sweep(Instant now) {
  std::erase_if(entries_, [&](const auto& item) { return now - item.second.at > kRetention; });
}

}  // namespace Hallchute
