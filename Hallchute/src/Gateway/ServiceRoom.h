// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_SERVICEROOM_H
#define HALLCHUTE_GATEWAY_SERVICEROOM_H

namespace Hallchute {

/// \brief Work that a service's upstreams can take before their queues reach a delay.
/// \ingroup Gateway
struct ServiceRoom {
  /// In prompt tokens, or in requests for a service without them.
  double room = 0;
  /// Prompt tokens per millisecond of all upstreams together; 0 for requests.
  double tokensPerMs = 0;
  /// The same of those upstreams whose queue delay is below the target.
  double openTokensPerMs = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_SERVICEROOM_H
