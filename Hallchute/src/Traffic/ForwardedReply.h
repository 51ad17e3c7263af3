// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_FORWARDEDREPLY_H
#define HALLCHUTE_TRAFFIC_FORWARDEDREPLY_H

#include <string>
#include <variant>

#include "Hallchute/src/Gateway/UpstreamRecord.h"
#include "Hallchute/src/Http/HttpReader.h"
#include "Hallchute/src/Upstream/UpstreamChannel.h"

namespace Hallchute {

/// \brief What a daemon reports of a request that another one forwarded to it. \ingroup Traffic
namespace ForwardedReplies {

/// The request was not sent to an upstream.
struct Declined {
  std::string reason;
};
/// The request is being sent to this upstream.
struct Dispatched {
  UpstreamIncarnation upstream;
  SoftwareVersion version;
};
/// The head of the upstream's response.
struct Head {
  HttpHead head;
};
/// The next bytes of the response's body.
struct Body {
  std::string bytes;
};
/// The response is complete.
struct Done {};
/// The exchange with the upstream failed.
struct Failed {
  ExchangeFailure failure = ExchangeFailure::notSent;
};

}  // namespace ForwardedReplies

/// \ingroup Traffic
using ForwardedReply =
    std::variant<ForwardedReplies::Declined, ForwardedReplies::Dispatched, ForwardedReplies::Head,
                 ForwardedReplies::Body, ForwardedReplies::Done, ForwardedReplies::Failed>;

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_FORWARDEDREPLY_H
