// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ADMISSIONREQUEST_H
#define HALLCHUTE_GATEWAY_ADMISSIONREQUEST_H

#include <cstddef>
#include <cstdint>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/UpstreamPick.h"

namespace Hallchute {

/// \brief A request that has not been dispatched yet, as admission control sees it.
/// \ingroup Gateway
struct AdmissionRequest {
  /// Identifies the request within this daemon.
  std::uint64_t session = 0;
  UpstreamCriteria criteria;
  /// Empty on open routes.
  OrganisationName organisation;
  /// Number of priorities of the service's routes that are more urgent.
  std::uint32_t rank = 0;
  /// Engines process it before less urgent requests of the same service, of which some may be part
  /// of the queue delay.
  bool overtakes = false;
  /// Target time to the response or, for a stream, to its first event.
  Millis objective{0};
  /// The shortest objective among the service's routes that are at least as urgent.
  Millis urgentObjective{0};
  Instant receivedAt{};
  /// When the time limit ends.
  Instant deadline{};
  /// Length of the prompt; 0 for a plain request or if unknown.
  std::uint64_t promptTokens = 0;
  /// Bytes that are held in memory while the request waits.
  std::size_t bytes = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ADMISSIONREQUEST_H
