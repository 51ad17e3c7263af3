// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ADMISSIONFORECAST_H
#define HALLCHUTE_GATEWAY_ADMISSIONFORECAST_H

#include <optional>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/AdmissionRequest.h"
#include "Hallchute/src/Gateway/ServiceRoom.h"

namespace Hallchute {

class UpstreamTable;

/// \brief When a request would be processed if it were dispatched now. \ingroup Gateway
struct AdmissionForecast {
  /// Time until the best upstream begins to process the request.
  Millis queueDelay{0};
  /// Time to process the request's own prompt.
  Millis promptTime{0};
  /// All upstreams have as many requests as their slots and queues hold. Only set for requests
  /// without prompt tokens, for which no times are predicted.
  bool full = false;
};

/// \brief Predicts the start of a request at the upstream that pickUpstream() selects; nothing if
/// none is eligible or there is no estimate for it. Cost: as pickUpstream(), and one pass over the
/// upstreams for a request without prompt tokens.
std::optional<AdmissionForecast> forecastStart(const UpstreamTable& table,
                                               const AdmissionRequest& request, Instant now);

/// \brief The room of a service's listed upstreams up to a queue delay of \p target; nothing
/// without estimates. Cost: one pass over the upstreams.
/// \param countsTokens whether requests of the service state prompt tokens.
std::optional<ServiceRoom> roomOf(const UpstreamTable& table, const ServiceName& service,
                                  bool countsTokens, Millis target);

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ADMISSIONFORECAST_H
