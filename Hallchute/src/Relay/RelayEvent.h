// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RELAY_RELAYEVENT_H
#define HALLCHUTE_RELAY_RELAYEVENT_H

#include <variant>

namespace Hallchute {

/// \brief What happens to a request under way; see RelayCourse. \ingroup Relay
namespace RelayEvents {

/// The request was admitted: the first dispatch may go out.
struct Begin {};
/// There is nobody to dispatch to, or the retry budget is empty.
struct NoUpstreamAvailable {};
/// The dispatch provably never left this host.
struct NotSent {};
/// The upstream says that it did not run the request.
struct NotExecuted {};
/// A whole event of a stream came.
struct StreamEventReceived {};
/// The whole answer came; of a stream, its end.
struct ResponseComplete {
  bool success = true;
};
/// The connection ended or its bytes were faulty after the request was sent.
struct ConnectionBroken {};
/// The upstream took the request and has been silent for longer than it should.
struct UpstreamSilent {};
struct CallerDisconnected {};
/// The time limit of the request passed.
struct DeadlineExceeded {};

}  // namespace RelayEvents

/// \ingroup Relay
using RelayEvent = std::variant<RelayEvents::Begin, RelayEvents::NoUpstreamAvailable,
                                RelayEvents::NotSent, RelayEvents::NotExecuted,
                                RelayEvents::StreamEventReceived, RelayEvents::ResponseComplete,
                                RelayEvents::ConnectionBroken, RelayEvents::UpstreamSilent,
                                RelayEvents::CallerDisconnected, RelayEvents::DeadlineExceeded>;

}  // namespace Hallchute

#endif  // HALLCHUTE_RELAY_RELAYEVENT_H
