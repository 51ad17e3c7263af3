// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RELAY_RELAYACTION_H
#define HALLCHUTE_RELAY_RELAYACTION_H

#include <variant>

namespace Hallchute {

/// \brief Actions for a request in progress; see RelayStateMachine. \ingroup Relay
namespace RelayActions {

/// Select an upstream and send the request to it, beside those that are at work on it.
struct Dispatch {
  /// An earlier dispatch reached an upstream, so this one counts against the retry budget.
  bool retry = false;
  /// The stream resumes after the last forwarded event.
  bool resume = false;
  /// The upstream at work isn't known to be in trouble; see RelayEvents::HedgeDue.
  bool hedge = false;
  bool operator==(const Dispatch&) const = default;
};
/// Close the exchanges with all upstreams but the one that the event came from, so that they stop
/// processing the request.
struct Cancel {
  bool operator==(const Cancel&) const = default;
};
/// Forward the event, preceded by the response head if it is the first.
struct ForwardEvent {
  bool first = false;
  bool operator==(const ForwardEvent&) const = default;
};
/// End the response: the stream is complete.
struct EndStream {
  bool operator==(const EndStream&) const = default;
};
/// Forward the last complete response.
struct ForwardResponse {
  bool operator==(const ForwardResponse&) const = default;
};
/// Report to the caller that the request did not run, with a retry delay.
struct Refuse {
  bool operator==(const Refuse&) const = default;
};
/// Report to the caller that the request may have run.
struct Fail {
  bool deadlineExceeded = false;
  bool operator==(const Fail&) const = default;
};
/// Abort a started stream so that the caller can't mistake it for a complete one.
struct AbortStream {
  bool operator==(const AbortStream&) const = default;
};

}  // namespace RelayActions

/// \ingroup Relay
using RelayAction =
    std::variant<RelayActions::Dispatch, RelayActions::Cancel, RelayActions::ForwardEvent,
                 RelayActions::EndStream, RelayActions::ForwardResponse, RelayActions::Refuse,
                 RelayActions::Fail, RelayActions::AbortStream>;

}  // namespace Hallchute

#endif  // HALLCHUTE_RELAY_RELAYACTION_H
