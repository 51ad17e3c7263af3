// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_ANSWEREVIDENCE_H
#define HALLCHUTE_TRAFFIC_ANSWEREVIDENCE_H

#include "Hallchute/src/Ports/TrafficCodec.h"
#include "Hallchute/src/Relay/DispatchEvidence.h"

namespace Hallchute {

/// \brief What a whole answer with \p status says of whether \p request ran. \ingroup Traffic
inline DispatchEvidences::Answered evidenceOf(const UpstreamResponse& answer,
                                              const RequestId& request, int status) {
  constexpr int kBadRequest = 400;
  // Answers to requests without an id can't be told apart, but for the one that rejects them.
  const bool answersRequest = answer.id == request && (!request.empty() || status == kBadRequest);
  return {status, answersRequest, answer.statesNotExecuted, answer.hasSignature};
}

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_ANSWEREVIDENCE_H
