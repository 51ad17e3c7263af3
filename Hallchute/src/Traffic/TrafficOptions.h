// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_TRAFFICOPTIONS_H
#define HALLCHUTE_TRAFFIC_TRAFFICOPTIONS_H

#include <string>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/AdmissionLimits.h"
#include "Hallchute/src/Gateway/HedgePolicy.h"
#include "Hallchute/src/Gateway/QuotaLedger.h"
#include "Hallchute/src/Gateway/RetryWindow.h"
#include "Hallchute/src/Upstream/AnswerBounds.h"

namespace Hallchute {

/// \brief Startup options of the traffic thread. \ingroup Traffic
struct TrafficOptions {
  FailureDomainName domain;
  /// Source address of connections to upstreams.
  std::string ownIp;
  RetryAllowance retries;
  HedgeLimits hedges;
  QuotaTolerance quotas;
  /// Length of a usage window.
  Millis usageWindow{5'000};
  AdmissionLimits admission;
  /// Whether upstreams' speeds are estimated and used for placement.
  bool estimatesSpeeds = false;
  AnswerBounds answers;
  /// Whether rollouts decide on the versions that serve.
  bool rollouts = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_TRAFFICOPTIONS_H
