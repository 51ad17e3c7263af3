// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/AdmissionOutlook.h"

#include "Hallchute/src/Gateway/AdmissionRequest.h"
#include "Hallchute/src/Gateway/UpstreamTable.h"

namespace Hallchute {

AdmissionOutlook outlookOf(const UpstreamTable& table, Instant now) {
  return {
      [&table, now](const AdmissionRequest& request) { return forecastStart(table, request, now); },
      [&table](const ServiceName& service, bool countsTokens, Millis target) {
        return roomOf(table, service, countsTokens, target);
      }};
}

}  // namespace Hallchute
