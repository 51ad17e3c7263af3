// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ADMISSIONOUTLOOK_H
#define HALLCHUTE_GATEWAY_ADMISSIONOUTLOOK_H

#include <functional>
#include <optional>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/AdmissionForecast.h"
#include "Hallchute/src/Gateway/ServiceRoom.h"

namespace Hallchute {

class UpstreamTable;
struct AdmissionRequest;

/// \brief The predictions that admission rests on, as of one moment. \ingroup Gateway
struct AdmissionOutlook {
  /// See forecastStart().
  std::function<std::optional<AdmissionForecast>(const AdmissionRequest&)> start;
  /// See roomOf().
  std::function<std::optional<ServiceRoom>(const ServiceName&, bool countsTokens, Millis target)>
      room;
};

/// \brief The predictions from a table of upstreams, which must outlive the result.
/// \ingroup Gateway
AdmissionOutlook outlookOf(const UpstreamTable& table, Instant now);

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ADMISSIONOUTLOOK_H
