// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_TRAFFICSESSION_H
#define HALLCHUTE_TRAFFIC_TRAFFICSESSION_H

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Gateway/AdmissionRequest.h"
#include "Hallchute/src/Gateway/CrashSuspects.h"
#include "Hallchute/src/Gateway/RouteTable.h"
#include "Hallchute/src/Gateway/StreamContinuation.h"
#include "Hallchute/src/Gateway/StreamOrigin.h"
#include "Hallchute/src/Gateway/UpstreamPick.h"
#include "Hallchute/src/Ports/TrafficCodec.h"
#include "Hallchute/src/Relay/EventSplitter.h"
#include "Hallchute/src/Relay/RelayStateMachine.h"
#include "Hallchute/src/Traffic/HeldSlot.h"
#include "Hallchute/src/Traffic/SessionDispatch.h"
#include "Hallchute/src/Traffic/SessionHedge.h"

namespace Hallchute {

class FrontExchange;
class TrafficEngine;

/// \brief An admitted request and the settings that it was admitted under. \ingroup Traffic
struct SessionAdmission {
  /// Keeps `route` and `organisation` alive if the settings change during the request.
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  /// Null on open routes.
  const GatewayOrganisation* organisation = nullptr;
  ClientRequest request;
  double quotaTaken = 0;
  CrashSuspects suspects{};
  /// It is dispatched once although a part of it is in quarantine.
  bool isCrashTrial = false;
};

/// \brief Runs one admitted request: passes its events to the relay's state machine and performs
/// the resulting actions.
/// \ingroup Traffic
class TrafficSession final : public SessionDispatchListener,
                             public std::enable_shared_from_this<TrafficSession> {
 public:
  TrafficSession(TrafficEngine& engine, std::uint64_t id, std::shared_ptr<FrontExchange> exchange,
                 SessionAdmission admission);
  ~TrafficSession() override;

  void begin();
  const ServiceName& service() const { return service_; }

  void dispatchForwarded(SessionDispatch& dispatch) override;
  void dispatchDeclined(SessionDispatch& dispatch, const DaemonId& peer) override;
  bool answerBegan(SessionDispatch& dispatch) override;
  void streamContinued(SessionDispatch& dispatch) override;
  void answerEnded(SessionDispatch& dispatch) override;
  void dispatchFailed(SessionDispatch& dispatch, ExchangeFailure failure) override;

 private:
  /// Begins once admission control lets the request go on; a resumed stream doesn't wait.
  void enterAdmission();
  AdmissionRequest admissionRequest() const;
  int urgency() const;
  /// Finds the software version that began the stream, if the caller continues one.
  void resolveOrigin();
  void adopt(const ContinuationVerdicts::Continue& verdict);
  void adopt(const ContinuationVerdicts::Refuse& verdict);
  /// The resolver returns no others.
  void adopt(const ContinuationVerdicts::AskPeers&) {}
  void adopt(const ContinuationVerdicts::ReadArchive&) {}
  void logOrigin(const ContinuationEvidence& known, const ContinuationVerdict& verdict) const;
  StreamKey streamKey() const;
  void noteStreamStarted();
  /// \param source the dispatch that the event comes from, if any.
  void handleEvent(const RelayEvent& event, SessionDispatch* source = nullptr);
  void logRejection(const SessionDispatch& dispatch, bool proven) const;
  void noteProof(const ExecutionProof& proof);
  void handleNoAnswer(const DispatchEvidence& evidence, SessionDispatch* source = nullptr);
  void perform(const RelayActions::Dispatch& action);
  void perform(const RelayActions::Cancel& action);
  void perform(const RelayActions::ForwardEvent& action);
  void perform(const RelayActions::EndStream& action);
  void perform(const RelayActions::ForwardResponse& action);
  void perform(const RelayActions::Refuse& action);
  void perform(const RelayActions::Fail& action);
  void perform(const RelayActions::AbortStream& action);

  void refreshVersion();
  bool deniedByQuarantine() const;
  /// Voids a choice of an upstream that is still waiting: it is no dispatch any more.
  void withdrawChoice();
  /// Upstreams that rejected the request, or whose run was replaced before it sent data, may be
  /// tried again.
  void refreshTried();
  DispatchMetadata dispatchTerms(bool resume) const;
  /// Sends the request to the upstream that was chosen, if any, or through another daemon.
  void dispatch(const RelayActions::Dispatch& action, const UpstreamEntry* upstream,
                const HeldSlotPtr& slot);
  bool takeRetry(const RelayActions::Dispatch& action);
  bool dispatchTo(const UpstreamEntry& upstream, const RelayActions::Dispatch& action,
                  const HeldSlotPtr& slot);
  /// Sends the request to a second upstream if the policy allows it.
  void handleHedgeDue();
  void noteFirstData();
  void forwardToPeer(bool resume);
  SessionDispatch& addDispatch();
  void noteUpstream(const SessionDispatch& dispatch);
  bool anyOpen() const;
  /// Passes on the events that arrived.
  void forwardEvents(SessionDispatch& dispatch);
  void recordRunStart(SessionDispatch& dispatch);
  void noteCompleted(const SessionDispatch& dispatch);
  /// Counts the end of a dispatch as evidence of its upstream's software version.
  void noteVersionOutcome(const SessionDispatch& dispatch, DispatchResult result);
  void recordUnansweredRun(const SessionDispatch& dispatch, DispatchResult result);
  void endDispatch(SessionDispatch& dispatch, DispatchResult result, bool keepChannel);
  Millis silenceTimeout() const;
  void restartSilenceTimer();
  void startSilenceTimer(Millis timeout);
  void handleSilence();
  /// Whether a dispatch has been at work for long enough to be called silent.
  bool isOverdue(const SessionDispatch& dispatch) const;
  /// The dispatch that answers, or the last one.
  const SessionDispatch* reportedDispatch() const;
  void stopTimers();
  void finish(std::string_view outcome, int status);
  Millis remaining() const;
  static HttpFields forwardedFields(const HttpHead& head);
  bool alreadyForwarded(const StreamEvent& event) const;

  TrafficEngine& engine_;
  std::uint64_t id_;
  std::shared_ptr<FrontExchange> exchange_;
  SessionAdmission admission_;
  ServiceName service_;
  UpstreamCriteria selection_;
  RelayStateMachine relay_;
  SessionHedge hedge_;
  Instant deadline_;

  /// In order; those that have ended are kept, as they may be calling this session.
  std::vector<std::unique_ptr<SessionDispatch>> dispatches_;
  /// The dispatch that the event being handled comes from.
  SessionDispatch* source_ = nullptr;
  /// The dispatch whose data was forwarded last, or whose whole answer will be.
  const SessionDispatch* answering_ = nullptr;
  /// Number of the last choice of an upstream; an earlier one that is still waiting is void.
  std::uint64_t choice_ = 0;
  bool choosing_ = false;
  /// Daemons that didn't pass the request on.
  std::set<DaemonId> excludedPeers_;
  /// Set by a refusal of admission control.
  std::optional<Millis> refusalRetryAfter_;
  bool runCounted_ = false;
  int dispatchCount_ = 0;
  /// Why each dispatch that ended without a run is known not to have run, in order, for logs.
  std::string proofs_;
  std::optional<Instant> firstOutputAt_;

  /// Complete error response, kept as a fallback while the request is retried on another upstream.
  HttpHead fallbackHead_;
  std::string fallbackBody_;
  StreamEvent event_;
  std::string lastEventId_;

  std::uint64_t deadlineTimer_ = 0;
  std::uint64_t silenceTimer_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_TRAFFICSESSION_H
