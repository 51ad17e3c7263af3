// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/VersionHistory.h"

namespace Hallchute {

void VersionHistory::begin(const VersionClaim& listed, bool complete, Instant now) {
  asOf_ = listed.asOf;
  // Versions known from before the list may have begun streams as well.
  add(listed.versions, now);
  completeSince_ = complete ? std::nullopt : std::optional(now);
}

void VersionHistory::adopt(const VersionClaim& claim, Instant now) {
  begin(claim, claim.complete, now);
}

void VersionHistory::extend(std::span<const ServiceVersion> changed, std::uint64_t asOf,
                            Instant now) {
  add(changed, now);
  asOf_ = asOf;
}

void VersionHistory::noteListed(std::span<const ServiceVersion> listed, Instant now) {
  add(listed, now);
  std::erase_if(lastListed_, [&](const auto& item) { return now - item.second >= kHorizon; });
}

void VersionHistory::add(std::span<const ServiceVersion> versions, Instant now) {
  for (const ServiceVersion& version : versions) lastListed_[version] = now;
}

VersionClaim VersionHistory::claim(Instant now) const {
  VersionClaim claim;
  claim.asOf = asOf_;
  claim.complete = asOf_ > 0 && (!completeSince_ || now - *completeSince_ >= kHorizon);
  for (const auto& [version, at] : lastListed_) claim.versions.push_back(version);
  return claim;
}

}  // namespace Hallchute
