// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_UPSTREAMRECORD_H
#define HALLCHUTE_GATEWAY_UPSTREAMRECORD_H

#include <cstdint>
#include <string>
#include <utility>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Whether an upstream accepts new requests. \ingroup Gateway
enum class UpstreamState { ready, draining };

/// \brief Identifies one process of an upstream. \ingroup Gateway
struct UpstreamIncarnation {
  UpstreamIncarnation() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): an upstream that doesn't report its start time.
  UpstreamIncarnation(UpstreamId upstream, std::uint64_t start = 0)
      : id(std::move(upstream)), incarnation(start) {}
  UpstreamId id;
  /// See UpstreamRecord.
  std::uint64_t incarnation = 0;
  bool operator==(const UpstreamIncarnation&) const = default;
};

/// \brief An upstream's entry in the platform's directory. \ingroup Gateway
struct UpstreamRecord {
  /// May stay the same after a restart.
  UpstreamId id;
  ServiceName service;
  /// `ip:port`.
  std::string address;
  FailureDomainName domain;
  /// Maximum number of requests processed concurrently.
  std::uint32_t slots = 1;
  UpstreamState state = UpstreamState::ready;
  /// Runs on capacity that the platform may reclaim.
  bool reclaimable = false;
  /// Remaining warm-up time, during which it is slow.
  Millis warmupRemaining{0};
  /// Start time in ms since the Unix epoch; 0 if not reported. A different value denotes a new
  /// process, which shares no state with the previous one.
  std::uint64_t incarnation = 0;
  /// Version of the software that this process runs. Versions have no order.
  SoftwareVersion version{};
  bool operator==(const UpstreamRecord&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_UPSTREAMRECORD_H
