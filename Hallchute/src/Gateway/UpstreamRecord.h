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

/// \brief Whether an upstream takes new work. \ingroup Gateway
enum class UpstreamState { ready, draining };

/// \brief One process of an upstream. \ingroup Gateway
struct UpstreamIncarnation {
  UpstreamIncarnation() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): an upstream that doesn't tell its start.
  UpstreamIncarnation(UpstreamId upstream, std::uint64_t start = 0)
      : id(std::move(upstream)), incarnation(start) {}
  UpstreamId id;
  /// See UpstreamRecord.
  std::uint64_t incarnation = 0;
  bool operator==(const UpstreamIncarnation&) const = default;
};

/// \brief An upstream as the platform's directory tells of it. \ingroup Gateway
struct UpstreamRecord {
  /// A restarted upstream may keep it.
  UpstreamId id;
  ServiceName service;
  /// `ip:port`.
  std::string address;
  DomainName domain;
  /// Requests it works on at once.
  std::uint32_t slots = 1;
  UpstreamState state = UpstreamState::ready;
  /// It was ordered as one that the platform may take away.
  bool reclaimable = false;
  /// How much longer it is slow from its start.
  Millis warmupRemaining{0};
  /// When it started, in ms since 1970; 0 if it doesn't tell. With another one it is a new process
  /// that holds and knows nothing of the one before.
  std::uint64_t incarnation = 0;
  bool operator==(const UpstreamRecord&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_UPSTREAMRECORD_H
