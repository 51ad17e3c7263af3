// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RELAY_RELAYSTATEMACHINE_H
#define HALLCHUTE_RELAY_RELAYSTATEMACHINE_H

#include <vector>

#include "Hallchute/src/Relay/RelayAction.h"
#include "Hallchute/src/Relay/RelayEvent.h"

namespace Hallchute {

/// \brief Limits of a route on running a request more than once. \ingroup Relay
struct RelayPolicy {
  /// The request may run more than once.
  bool repeatable = false;
  /// An interrupted stream may be continued by another upstream.
  bool resumable = false;
  /// Maximum number of upstreams that may run the request.
  int maxRuns = 1;
};

/// \brief State machine of one request: consumes events, returns actions. No I/O, no clock.
/// \ingroup Relay
///
/// Invariants for every order of events: a request that is not repeatable is sent again only if no
/// earlier dispatch can have run; a refusal guarantees that nothing ran; a stream contains the
/// events of one run, or of runs that continue each other; there is exactly one final response.
///
/// A silent upstream is replaced only once its replacement has sent data: until then both are at
/// work, and either may go on. While one is at work the request ends only if its caller leaves or
/// its deadline passes.
///
/// A request is hedged before any data came, beside one upstream. When one of the two rejects the
/// request or fails, the other goes on alone; the rejection doesn't count towards a refusal.
class RelayStateMachine {
 public:
  explicit RelayStateMachine(RelayPolicy terms) : terms_(terms) {}

  /// \brief Processes an event. Returns no actions once ended.
  std::vector<RelayAction> step(const RelayEvent& event);
  bool ended() const { return phase_ == Phase::ended; }
  /// \brief Whether part of the response was sent to the caller.
  bool started() const { return started_; }
  /// \brief Whether an upstream may have run the request.
  bool mayHaveRun() const { return runs_ > 0; }
  /// \brief Whether one more upstream may run the request, beside those at work on it.
  bool mayRunAgain() const;

 private:
  enum class Phase { waiting, running, ended };
  using Actions = std::vector<RelayAction>;

  Actions on(const RelayEvents::Begin& event);
  Actions on(const RelayEvents::NoUpstreamAvailable& event);
  Actions on(const RelayEvents::NotSent& event);
  Actions on(const RelayEvents::NotExecuted& event);
  Actions on(const RelayEvents::StreamEventReceived& event);
  Actions on(const RelayEvents::ResponseComplete& event);
  Actions on(const RelayEvents::ConnectionBroken& event);
  Actions on(const RelayEvents::UpstreamSilent& event);
  Actions on(const RelayEvents::HedgeDue& event);
  Actions on(const RelayEvents::CallerDisconnected& event);
  Actions on(const RelayEvents::DeadlineExceeded& event);
  bool atWork() const { return phase_ == Phase::running && dispatches_ > 0; }
  RelayAction dispatch(bool hedge = false);
  void cancelAll(Actions& actions);
  void cancelOthers(Actions& actions);
  Actions afterRejection();
  Actions afterFailedRun();
  /// Whether the dispatch that ended leaves another one of a hedged request at work.
  bool leavesHedgedPartner();
  Actions giveUp(bool deadlineExceeded);
  Actions end(Actions actions);

  RelayPolicy terms_;
  Phase phase_ = Phase::waiting;
  bool started_ = false;
  /// A complete error response was received; it is forwarded if no later attempt succeeds.
  bool hasFallbackResponse_ = false;
  /// Two dispatches are at work as the request was hedged.
  bool hedging_ = false;
  /// Dispatches that have not ended.
  int dispatches_ = 0;
  /// Ended dispatches that may have run.
  int runs_ = 0;
  /// Dispatches that did not run, since the last event of a stream.
  int rejections_ = 0;
  /// Ended dispatches that reached an upstream.
  int deliveries_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_RELAY_RELAYSTATEMACHINE_H
