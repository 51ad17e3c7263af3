// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_SLOTREQUEST_H
#define HALLCHUTE_GATEWAY_SLOTREQUEST_H

#include <cstdint>
#include <string_view>

#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

/// \brief A daemon's request for a slot of an upstream. \ingroup Gateway
struct SlotRequest {
  UpstreamIncarnation upstream;
  /// Requests that the upstream runs at once.
  std::uint32_t slots = 0;
  /// Rejections that daemons may cause there, a second.
  double rejectionsPerSecond = 0;
};

/// \brief A slot that a request has taken. \ingroup Gateway
struct SlotLease {
  UpstreamIncarnation upstream;
  /// Given by the coordinator; 0 if none was granted.
  std::uint64_t id = 0;
};

/// \brief Why a slot was granted or refused. \ingroup Gateway
enum class SlotVerdict : std::uint8_t {
  granted,
  /// As many requests are in flight as the upstream has slots.
  full,
  /// More may be in flight, but the coordinator doesn't know it yet.
  gaining,
  /// The upstream has rejected as many requests lately as it may.
  rejecting,
  /// The daemon that was asked is not the upstream's coordinator.
  notCoordinator,
  /// The coordinator could not be reached, or did not answer in time.
  unreachable,
};

/// \brief The name of a verdict in logs. \ingroup Gateway
std::string_view describe(SlotVerdict verdict);

/// \brief A coordinator's reply to a request for a slot. \ingroup Gateway
struct SlotDecision {
  SlotVerdict verdict = SlotVerdict::unreachable;
  SlotLease lease;
  /// Slots in use at the decision, and how many may be.
  std::uint32_t inUse = 0;
  std::uint32_t allowed = 0;

  bool granted() const { return verdict == SlotVerdict::granted; }
};

/// \brief How the request that took a slot ended. \ingroup Gateway
enum class SlotOutcome : std::uint8_t {
  /// The upstream has answered it.
  answered,
  /// It was not sent.
  unused,
  /// The upstream rejected it.
  rejected,
  /// Nobody knows whether the upstream still runs it.
  unknown,
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_SLOTREQUEST_H
