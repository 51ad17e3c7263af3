// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RELAY_RELAYEVENT_H
#define HALLCHUTE_RELAY_RELAYEVENT_H

#include <variant>

#include "Hallchute/src/Relay/ExecutionProof.h"

namespace Hallchute {

/// \brief Events of a request in progress; see RelayStateMachine. \ingroup Relay
namespace RelayEvents {

/// The request was admitted and may be dispatched.
struct Begin {};
/// The last dispatch can't be made: no upstream is available, or the retry budget is exhausted.
struct NoUpstreamAvailable {};
/// The request reached no upstream.
struct NotSent {
  ExecutionProof proof;
};
/// The upstream rejected the request.
struct NotExecuted {
  ExecutionProof proof;
};
/// A complete event of a stream was received.
struct StreamEventReceived {};
/// The complete response, or the end of a stream, was received.
struct ResponseComplete {
  bool success = true;
};
/// The connection was closed or the response was malformed after the request was sent.
struct ConnectionBroken {};
/// The upstreams at work on the request sent no data within the expected time.
struct UpstreamSilent {};
/// The only upstream at work has sent no data for so long that the request is worth a second one.
struct HedgeDue {};
struct CallerDisconnected {};
/// The deadline of the request passed.
struct DeadlineExceeded {};

}  // namespace RelayEvents

/// \ingroup Relay
using RelayEvent =
    std::variant<RelayEvents::Begin, RelayEvents::NoUpstreamAvailable, RelayEvents::NotSent,
                 RelayEvents::NotExecuted, RelayEvents::StreamEventReceived,
                 RelayEvents::ResponseComplete, RelayEvents::ConnectionBroken,
                 RelayEvents::UpstreamSilent, RelayEvents::HedgeDue,
                 RelayEvents::CallerDisconnected, RelayEvents::DeadlineExceeded>;

}  // namespace Hallchute

#endif  // HALLCHUTE_RELAY_RELAYEVENT_H
