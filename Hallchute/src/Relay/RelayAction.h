// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RELAY_RELAYACTION_H
#define HALLCHUTE_RELAY_RELAYACTION_H

#include <variant>

namespace Hallchute {

/// \brief What is to be done for a request under way; see RelayCourse. \ingroup Relay
namespace RelayActions {

/// Choose an upstream and send the request there.
struct Dispatch {
  /// An earlier dispatch arrived at an upstream: this one draws on the retry budget.
  bool retry = false;
  /// The stream goes on after the last event that was passed.
  bool resume = false;
  bool operator==(const Dispatch&) const = default;
};
/// End the exchange with the upstream, so that it stops working.
struct Cancel {
  bool operator==(const Cancel&) const = default;
};
/// Pass the event, after the answer's head if it is the first.
struct ForwardEvent {
  bool first = false;
  bool operator==(const ForwardEvent&) const = default;
};
/// The stream is complete.
struct EndStream {
  bool operator==(const EndStream&) const = default;
};
/// Pass the whole answer that came last.
struct ForwardResponse {
  bool operator==(const ForwardResponse&) const = default;
};
/// Tell the caller that the request did not run and when to come back.
struct Refuse {
  bool operator==(const Refuse&) const = default;
};
/// Tell the caller that the request may have run.
struct Fail {
  bool deadlineExceeded = false;
  bool operator==(const Fail&) const = default;
};
/// End a started stream so that it can't be taken for complete.
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
