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
  bool repeat = false;
  /// The stream goes on after the last event that was passed.
  bool resume = false;
  bool operator==(const Dispatch&) const = default;
};
/// End the exchange with the upstream, so that it stops working.
struct Cancel {
  bool operator==(const Cancel&) const = default;
};
/// Pass the event, after the answer's head if it is the first.
struct PassPiece {
  bool first = false;
  bool operator==(const PassPiece&) const = default;
};
/// The stream is complete.
struct PassEnd {
  bool operator==(const PassEnd&) const = default;
};
/// Pass the whole answer that came last.
struct PassWhole {
  bool operator==(const PassWhole&) const = default;
};
/// Tell the caller that the request did not run and when to come back.
struct Refuse {
  bool operator==(const Refuse&) const = default;
};
/// Tell the caller that the request may have run.
struct Fail {
  bool timeUp = false;
  bool operator==(const Fail&) const = default;
};
/// End a started stream so that it can't be taken for complete.
struct BreakOff {
  bool operator==(const BreakOff&) const = default;
};

}  // namespace RelayActions

/// \ingroup Relay
using RelayAction =
    std::variant<RelayActions::Dispatch, RelayActions::Cancel, RelayActions::PassPiece,
                 RelayActions::PassEnd, RelayActions::PassWhole, RelayActions::Refuse,
                 RelayActions::Fail, RelayActions::BreakOff>;

}  // namespace Hallchute

#endif  // HALLCHUTE_RELAY_RELAYACTION_H
