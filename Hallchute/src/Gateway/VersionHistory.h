// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_VERSIONHISTORY_H
#define HALLCHUTE_GATEWAY_VERSIONHISTORY_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/VersionClaim.h"

namespace Hallchute {

/// \brief The software versions that the services had lately, without a gap from one revision of
/// the directory to the next. Not thread-safe; no I/O, no clock. \ingroup Gateway
///
/// Lists alone would miss a version that came and went between two of them. Cost: one pass over the
/// versions per call.
class VersionHistory {
 public:
  /// Longer than a caller takes a stream up again.
  static constexpr Millis kHorizon{60'000};

  /// \brief Begins with a list of all versions at a revision. \param complete whether no stream
  /// that a caller may still take up began before it.
  void begin(const VersionClaim& listed, bool complete, Instant now);
  /// \brief Begins with what another daemon knew.
  void adopt(const VersionClaim& claim, Instant now);
  /// \brief Adds the versions of all entries that changed between asOf() and \p asOf.
  void extend(std::span<const ServiceVersion> changed, std::uint64_t asOf, Instant now);
  /// \brief Records that versions are still listed.
  void noteListed(std::span<const ServiceVersion> listed, Instant now);

  /// \brief The revision that the history reaches; 0 if it hasn't begun.
  std::uint64_t asOf() const { return asOf_; }
  bool contains(const ServiceVersion& version) const { return lastListed_.contains(version); }
  VersionClaim claim(Instant now) const;

 private:
  void add(std::span<const ServiceVersion> versions, Instant now);

  std::uint64_t asOf_ = 0;
  std::map<ServiceVersion, Instant> lastListed_;
  /// Since when no version is missing; nothing if none is within the horizon.
  std::optional<Instant> completeSince_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_VERSIONHISTORY_H
