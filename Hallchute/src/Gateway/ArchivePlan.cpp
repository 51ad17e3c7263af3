// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/ArchivePlan.h"

#include <algorithm>
#include <utility>

namespace Hallchute {

bool ArchivePlan::mustReadVersions(const ArchiveInput& input, Instant now) const {
  if (!versionsReadAt_ || now - *versionsReadAt_ >= kVersionsInterval) return true;
  return std::any_of(input.listed.begin(), input.listed.end(),
                     [this](const ServiceVersion& version) { return !history_.contains(version); });
}

ArchiveStep ArchivePlan::next(const ArchiveInput& input, Instant now) {
  if (!archiveKnown_ && !input.streams.empty()) streamsBegan_ = true;
  if (now < retryAt_) return ArchiveSteps::Nothing{};
  if (!archiveKnown_) return ArchiveSteps::ReadArchive{};
  if (history_.asOf() == 0) return ArchiveSteps::ListVersions{};
  if (mustReadVersions(input, now)) return ArchiveSteps::ReadVersions{history_.asOf()};
  history_.noteListed(input.listed, now);
  ArchivedOrigins part = compose(input, now);
  if (written_ && written_->versions == part.versions && written_->streams == part.streams) {
    return ArchiveSteps::Nothing{};
  }
  pending_ = part;
  return ArchiveSteps::Write{std::move(part)};
}

ArchivedOrigins ArchivePlan::compose(const ArchiveInput& input, Instant now) {
  std::erase_if(inherited_, [now](const Inherited& kept) { return kept.until <= now; });
  ArchivedOrigins part{self_, revision_, history_.claim(now), {}};
  std::set<ServiceVersion> sole;
  for (const ServiceVersion& version : part.versions.versions) {
    if (part.versions.sole(version.service)) sole.insert(version);
  }
  const auto add = [&](const StreamOrigin& origin) {
    const bool implied = sole.contains({origin.service, origin.version});
    if (!implied && part.streams.size() < kMaxStreams) part.streams.push_back(origin);
  };
  // The newest come first.
  for (const StreamOrigin& origin : input.streams) add(origin);
  for (const Inherited& kept : inherited_) add(kept.origin);
  return part;
}

void ArchivePlan::noteArchive(std::span<const ArchivedOrigins> parts, bool servedBefore,
                              Instant now) {
  archiveKnown_ = true;
  revision_ = 0;
  written_.reset();
  for (const ArchivedOrigins& part : parts) {
    if (part.writer != self_) continue;
    revision_ = part.revision;
    for (const StreamOrigin& origin : part.streams) {
      const bool kept = std::any_of(inherited_.begin(), inherited_.end(),
                                    [&](const Inherited& known) { return known.origin == origin; });
      if (!kept) inherited_.push_back({origin, now + VersionHistory::kHorizon});
    }
  }
  fleetIsNew_ = parts.empty() && !servedBefore && !streamsBegan_;
  const VersionClaim* newest = newestComplete(parts);
  if (history_.asOf() == 0 && newest != nullptr) history_.adopt(*newest, now);
}

void ArchivePlan::noteListed(const VersionClaim& listed, Instant now) {
  history_.begin(listed, std::exchange(fleetIsNew_, false), now);
  versionsReadAt_ = now;
}

void ArchivePlan::noteVersions(const VersionClaim& changed, Instant now) {
  // A store that answers from an older state has not told of all changes.
  if (changed.asOf < history_.asOf()) {
    noteHistoryLost();
    return;
  }
  history_.extend(changed.versions, changed.asOf, now);
  versionsReadAt_ = now;
}

void ArchivePlan::noteHistoryLost() {
  history_ = VersionHistory();
}

void ArchivePlan::noteWritten(std::uint64_t revision) {
  revision_ = revision;
  written_ = std::exchange(pending_, std::nullopt);
}

void ArchivePlan::noteUncertain() {
  archiveKnown_ = false;
}

}  // namespace Hallchute
