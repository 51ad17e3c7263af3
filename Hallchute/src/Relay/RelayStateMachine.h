// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RELAY_RELAYSTATEMACHINE_H
#define HALLCHUTE_RELAY_RELAYSTATEMACHINE_H

#include <vector>

#include "Hallchute/src/Relay/RelayAction.h"
#include "Hallchute/src/Relay/RelayEvent.h"

namespace Hallchute {

/// \brief What a route allows for a request. \ingroup Relay
struct RelayPolicy {
  /// It may run more than once.
  bool repeatable = false;
  /// A broken stream may go on at another upstream.
  bool resumable = false;
  /// Upstreams at which it may run.
  int maxRuns = 1;
};

/// \brief The course of one request: events in, actions out. No I/O, no clock.
/// \ingroup Relay
///
/// Keeps, whatever the order of events: what may not repeat is sent again only if no earlier
/// dispatch can have run; a refusal is a promise that nothing ran; a stream holds the pieces of
/// one run, or of runs that continue each other; exactly one final answer.
class RelayStateMachine {
 public:
  explicit RelayStateMachine(RelayPolicy terms) : terms_(terms) {}

  /// \brief Takes an event. After the end of the course there are no actions.
  std::vector<RelayAction> step(const RelayEvent& event);
  bool ended() const { return phase_ == Phase::ended; }
  /// \brief Whether part of the answer went to the caller.
  bool started() const { return started_; }
  /// \brief Whether an upstream may have run the request.
  bool mayHaveRun() const { return runs_ > 0; }

 private:
  enum class Phase { waiting, dispatched, ended };
  using Actions = std::vector<RelayAction>;

  Actions on(const RelayEvents::Begin& event);
  Actions on(const RelayEvents::NoUpstreamAvailable& event);
  Actions on(const RelayEvents::NotSent& event);
  Actions on(const RelayEvents::NotExecuted& event);
  Actions on(const RelayEvents::StreamEventReceived& event);
  Actions on(const RelayEvents::ResponseComplete& event);
  Actions on(const RelayEvents::ConnectionBroken& event);
  Actions on(const RelayEvents::UpstreamSilent& event);
  Actions on(const RelayEvents::CallerDisconnected& event);
  Actions on(const RelayEvents::DeadlineExceeded& event);
  bool mayRunAgain() const;
  RelayAction dispatchAgain();
  Actions afterRejection();
  Actions afterFailedRun();
  Actions giveUp(bool deadlineExceeded);
  Actions end(Actions actions);

  RelayPolicy terms_;
  Phase phase_ = Phase::waiting;
  bool started_ = false;
  /// A whole answer that says failure came; it is passed if no better one comes.
  bool spareAnswer_ = false;
  /// Dispatches that may have run.
  int runs_ = 0;
  /// Dispatches that did not.
  int rejections_ = 0;
  /// Dispatches that reached an upstream.
  int arrivals_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_RELAY_RELAYSTATEMACHINE_H
