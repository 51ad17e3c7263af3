// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_VERSIONHISTORY_H
#define HALLCHUTE_GATEWAY_VERSIONHISTORY_H

#include <compare>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

struct UpstreamRecord;

/// \brief A version of the software of a service's upstreams. \ingroup Gateway
struct ServiceVersion {
  ServiceName service;
  SoftwareVersion version;
  auto operator<=>(const ServiceVersion&) const = default;
};

/// \brief On what the versions known of a service are based, for logs. \ingroup Gateway
struct VersionKnowledge {
  /// Versions within the horizon.
  std::size_t versions = 0;
  /// Time since the first listing; nothing without one.
  std::optional<Millis> listedFor;
  /// Whether the versions before the start are known.
  bool earlierKnown = false;
};

/// \brief The software versions that each service had lately, by the directory's listings. Not
/// thread-safe; no I/O, no clock. \ingroup Gateway
///
/// While a service has had one version for longer than any stream lasts, a stream's version is
/// known without a record of it. Cost: one pass per listing; one lookup per query.
class VersionHistory {
 public:
  /// Longer than a caller takes a stream up again.
  static constexpr Millis kHorizon{60'000};

  /// \brief Records a complete listing of the directory.
  void noteListed(std::span<const UpstreamRecord> records, Instant now);
  /// \brief Records the versions that the fleet's services had lately before this daemon started.
  /// Only the first call counts; none of them means that the fleet served nobody.
  void noteEarlier(std::span<const ServiceVersion> versions, Instant now);
  /// \brief The only version that the service has had for the horizon; nothing if there were
  /// several, or if the history is shorter.
  std::optional<SoftwareVersion> sole(const ServiceName& service, Instant now) const;
  VersionKnowledge knowledge(const ServiceName& service, Instant now) const;
  /// \brief The versions listed within the horizon, in order.
  std::vector<ServiceVersion> recent(Instant now) const;

 private:
  bool isRecent(const std::optional<Instant>& unlistedAt, Instant now) const {
    return !unlistedAt || now - *unlistedAt < kHorizon;
  }

  /// When each version was last listed; nothing if it is.
  std::map<ServiceVersion, std::optional<Instant>> versions_;
  std::optional<Instant> listedSince_;
  bool earlierKnown_ = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_VERSIONHISTORY_H
