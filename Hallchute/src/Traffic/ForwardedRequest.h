// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_FORWARDEDREQUEST_H
#define HALLCHUTE_TRAFFIC_FORWARDEDREQUEST_H

#include <cstdint>

#include "Hallchute/src/Core/SharedBytes.h"
#include "Hallchute/src/Gateway/CrashSuspects.h"
#include "Hallchute/src/Gateway/UpstreamPick.h"
#include "Hallchute/src/Http/HttpReader.h"
#include "Hallchute/src/Ports/TrafficCodec.h"

namespace Hallchute {

/// \brief A request that a daemon sends to an upstream through another daemon. \ingroup Traffic
///
/// The daemon that received the request keeps its deadline, quota, retries and usage; the other one
/// chooses an upstream and makes one dispatch.
struct ForwardedRequest {
  /// The receiver replaces the failure domain by its own.
  UpstreamCriteria criteria;
  CrashSuspects suspects{};
  std::uint64_t promptTokens = 0;
  bool repeatable = false;
  /// Without the caller's API key.
  HttpHead head;
  SharedBytes body;
  /// What doesn't depend on the upstream.
  DispatchMetadata terms;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_FORWARDEDREQUEST_H
