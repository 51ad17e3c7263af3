// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_UPSTREAMPICK_H
#define HALLCHUTE_GATEWAY_UPSTREAMPICK_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "Hallchute/src/Gateway/UpstreamTable.h"

namespace Hallchute {

/// \brief Selection criteria for the upstream of a request. \ingroup Gateway
struct UpstreamCriteria {
  ServiceName service;
  /// Requests with equal affinity keys share prompt prefixes; empty if nothing is shared.
  std::string affinity;
  /// Tokens of the shared prefix: an upstream that hasn't cached them recomputes them.
  std::uint64_t sharedTokens = 0;
  /// Tokens of the whole prompt; 0 if unknown.
  std::uint64_t promptTokens = 0;
  /// Target time to the first event; zero if there is none.
  Millis objective{0};
  /// Upstreams that were tried before.
  std::set<UpstreamId> tried;
  FailureDomainName ownDomain;
  /// Breaks ties, so that daemons don't all choose the same upstream.
  std::string requestId;
  /// The only software version that may run the request, as it continues a stream; empty if it
  /// can't be told, so that none may. Nothing: any version.
  std::optional<SoftwareVersion> version{};
  /// Software versions that may not run the request.
  std::set<SoftwareVersion> excludedVersions{};
  /// Upstreams that may not run the request for other reasons than an earlier try.
  std::set<UpstreamId> excludedUpstreams{};
};

/// \brief An upstream and when it is expected to start a request. \ingroup Gateway
struct PredictedStart {
  const UpstreamEntry* upstream = nullptr;
  /// Time until the upstream begins to process the prompt.
  Millis queueDelay{0};
  /// Time until the first event of the response.
  Millis firstEvent{0};
};

/// \brief Selects the upstream for a request; null if none is eligible. \ingroup Gateway
///
/// With an affinity key: the first upstream by rendezvous hashing with bounded load, so that all
/// daemons map a key to the same upstream, and to the same second one if that is overloaded; or the
/// next in rendezvous order if its prefill backlog is much shorter. Without: the least loaded
/// upstream if this daemon placed most of the load itself, otherwise a random choice weighted by
/// free slots; both prefer the own failure domain. Ejected and unlisted upstreams are used only if
/// no others are left, unlisted ones for a short time only; those that name a limit only within
/// this daemon's share of it, and first if no answer has named the limit for some time; those that
/// this daemon backs off from never. Cost: one pass and one hash per upstream.
const UpstreamEntry* pickUpstream(const UpstreamTable& table, const UpstreamCriteria& criteria,
                                  Instant now);

/// \brief The upstream that pickUpstream() selects, with its predicted times; nothing if none is
/// eligible. Cost: as pickUpstream().
/// \param promptTokens length of the whole prompt; 0 for a plain request.
std::optional<PredictedStart> predictStart(const UpstreamTable& table,
                                           const UpstreamCriteria& criteria,
                                           std::uint64_t promptTokens, Instant now);

/// \brief Selects the upstream that has probably cached the prompt prefix which \p chosen lacks:
/// the previous first choice for the affinity key, if it is draining or overloaded or was
/// superseded when \p chosen was listed; null if \p chosen has probably cached the prefix itself.
/// Cost: one pass and one hash per upstream.
const UpstreamEntry* cacheSource(const UpstreamTable& table, const UpstreamCriteria& criteria,
                                 const UpstreamEntry& chosen, Instant now);

/// \brief The prompt tokens that \p chosen is expected to process for a request: without the
/// shared ones if it has probably cached them, so that an upstream's measured speed doesn't depend
/// on how often its cache is hit. All tokens if the table doesn't use estimates. Cost: as
/// cacheSource().
/// \param promptTokens length of the whole prompt.
std::uint64_t tokensToProcess(const UpstreamTable& table, const UpstreamCriteria& criteria,
                              std::uint64_t promptTokens, const UpstreamEntry& chosen, Instant now);

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_UPSTREAMPICK_H
