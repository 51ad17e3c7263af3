// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_UPSTREAMPICK_H
#define HALLCHUTE_GATEWAY_UPSTREAMPICK_H

#include <cstdint>
#include <set>
#include <string>

#include "Hallchute/src/Gateway/UpstreamTable.h"

namespace Hallchute {

/// \brief What a request wants of its upstream. \ingroup Gateway
struct UpstreamCriteria {
  ServiceName service;
  /// Requests with the same one share prompt parts; empty where nothing is shared.
  std::string affinity;
  /// Tokens of those parts: an upstream that doesn't keep them reads them again.
  std::uint64_t sharedTokens = 0;
  /// Where it was before.
  std::set<UpstreamId> tried;
  DomainName ownDomain;
  /// Breaks ties, so that daemons don't all choose the same one.
  std::string requestId;
};

/// \brief The upstream for a request; null if there is none. \ingroup Gateway
///
/// With an affinity: the first by rendezvous whose load is not far above the mean, so that a
/// subject has one home in the fleet and a busy one a second; the next one if far less is to be
/// read there first than at home. Without: the least loaded while this daemon placed most of the
/// load itself, else a draw by free room; with a preference for the own failure domain. Upstreams
/// that are shunned, or that the directory no longer lists, serve only if no other is left, the
/// latter for a short while. Cost: one pass and one hash an upstream.
const UpstreamEntry* pickUpstream(const UpstreamTable& table, const UpstreamCriteria& wish,
                                  Instant now);

/// \brief The upstream that is likely to keep the prompt parts which \p chosen lacks: the subject's
/// home before, if it is leaving, busy, or was the home until \p chosen came; null if \p chosen is
/// likely to keep them itself. Cost: one pass and one hash an upstream.
const UpstreamEntry* cacheSource(const UpstreamTable& table, const UpstreamCriteria& wish,
                                 const UpstreamEntry& chosen, Instant now);

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_UPSTREAMPICK_H
