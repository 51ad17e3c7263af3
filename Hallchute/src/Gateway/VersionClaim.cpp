// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/VersionClaim.h"

#include <algorithm>

namespace Hallchute {

void VersionClaim::add(const ServiceVersion& version) {
  const auto at = std::lower_bound(versions.begin(), versions.end(), version);
  if (at == versions.end() || *at != version) versions.insert(at, version);
}

std::optional<VersionClaim> VersionClaim::extendedBy(const VersionClaim& since) const {
  if (since.asOf < asOf) return std::nullopt;
  VersionClaim extended = *this;
  extended.asOf = since.asOf;
  for (const ServiceVersion& version : since.versions) extended.add(version);
  return extended;
}

std::optional<SoftwareVersion> VersionClaim::sole(const ServiceName& service) const {
  if (!complete) return std::nullopt;
  const auto first = std::lower_bound(versions.begin(), versions.end(),
                                      ServiceVersion{service, SoftwareVersion()});
  if (first == versions.end() || first->service != service) return std::nullopt;
  const auto second = std::next(first);
  if (second != versions.end() && second->service == service) return std::nullopt;
  return first->version;
}

}  // namespace Hallchute
