// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/VersionHistory.h"

#include <algorithm>
#include <set>

#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

void VersionHistory::noteListed(std::span<const UpstreamRecord> records, Instant now) {
  if (records.empty()) return;
  if (!listedSince_) listedSince_ = now;
  std::set<ServiceVersion> listed;
  for (const UpstreamRecord& record : records) listed.insert({record.service, record.version});
  for (auto& [version, unlistedAt] : versions_) {
    if (!unlistedAt && !listed.contains(version)) unlistedAt = now;
  }
  for (const ServiceVersion& version : listed) versions_[version].reset();
  std::erase_if(versions_, [&](const auto& item) { return !isRecent(item.second, now); });
}

void VersionHistory::noteEarlier(std::span<const ServiceVersion> versions, Instant now) {
  // Later records hold what daemons learned from earlier ones, which would never expire.
  if (earlierKnown_) return;
  earlierKnown_ = true;
  for (const ServiceVersion& version : versions) versions_.try_emplace(version, now);
}

std::optional<SoftwareVersion> VersionHistory::sole(const ServiceName& service, Instant now) const {
  const bool complete = listedSince_ && (earlierKnown_ || now - *listedSince_ >= kHorizon);
  if (!complete) return std::nullopt;
  std::optional<SoftwareVersion> only;
  for (auto it = versions_.lower_bound({service, {}}); it != versions_.end(); ++it) {
    if (it->first.service != service) break;
    if (!isRecent(it->second, now)) continue;
    if (only) return std::nullopt;
    only = it->first.version;
  }
  return only;
}

VersionKnowledge VersionHistory::knowledge(const ServiceName& service, Instant now) const {
  VersionKnowledge known;
  known.versions = static_cast<std::size_t>(
      std::count_if(versions_.begin(), versions_.end(), [&](const auto& item) {
        return item.first.service == service && isRecent(item.second, now);
      }));
  if (listedSince_) known.listedFor = std::chrono::duration_cast<Millis>(now - *listedSince_);
  known.earlierKnown = earlierKnown_;
  return known;
}

std::vector<ServiceVersion> VersionHistory::recent(Instant now) const {
  std::vector<ServiceVersion> versions;
  for (const auto& [version, unlistedAt] : versions_) {
    if (isRecent(unlistedAt, now)) versions.push_back(version);
  }
  return versions;
}

}  // namespace Hallchute
