// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_FORWARDINGWIRE_H
#define HALLCHUTE_NODE_FORWARDINGWIRE_H

#include <optional>
#include <string>
#include <string_view>

#include "Hallchute/src/Traffic/ForwardedReply.h"
#include "Hallchute/src/Traffic/ForwardedRequest.h"

/// \file
/// \brief The wire format of requests that a daemon sends through another one, and of the replies.

namespace Hallchute {

std::string packForwarded(const ForwardedRequest& request);
std::optional<ForwardedRequest> unpackForwardedRequest(std::string_view bytes);
std::string packForwarded(const ForwardedReply& reply);
/// \returns nothing if \p bytes hold no reply.
std::optional<ForwardedReply> unpackForwardedReply(std::string_view bytes);

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_FORWARDINGWIRE_H
