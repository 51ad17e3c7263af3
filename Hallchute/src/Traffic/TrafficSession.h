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
#include <variant>

#include "Hallchute/src/Gateway/CrashSuspects.h"
#include "Hallchute/src/Gateway/RouteTable.h"
#include "Hallchute/src/Gateway/StreamOrigin.h"
#include "Hallchute/src/Gateway/UpstreamPick.h"
#include "Hallchute/src/Ports/TrafficCodec.h"
#include "Hallchute/src/Relay/EventSplitter.h"
#include "Hallchute/src/Relay/RelayStateMachine.h"
#include "Hallchute/src/Traffic/HeldSlot.h"
#include "Hallchute/src/Traffic/PeerDispatch.h"
#include "Hallchute/src/Upstream/UpstreamChannel.h"

namespace Hallchute {

class FrontExchange;
class TrafficEngine;
class UpstreamDispatch;

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
class TrafficSession final : public PeerDispatchListener,
                             public std::enable_shared_from_this<TrafficSession> {
 public:
  TrafficSession(TrafficEngine& engine, std::uint64_t id, std::shared_ptr<FrontExchange> exchange,
                 SessionAdmission admission);
  ~TrafficSession() override;

  void begin();
  const ServiceName& service() const { return service_; }

  bool upstreamHead(const HttpHead& head) override;
  void upstreamBody(std::string_view bytes) override;
  void upstreamDone() override;
  void upstreamFailed(ExchangeFailure failure) override;
  void peerDispatched(const UpstreamIncarnation& upstream, const SoftwareVersion& version) override;
  void peerDeclined(const DaemonId& peer) override;

 private:
  /// Finds the software version that began the stream, if the caller continues one.
  void resolveOrigin();
  void adoptOrigin(const std::optional<StreamOriginReply>& reply, std::string_view source);
  StreamKey streamKey() const;
  void noteStreamStarted();
  void handleEvent(const RelayEvent& event);
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
  DispatchMetadata dispatchTerms(bool resume) const;
  /// Sends the request to the upstream that was chosen, if any, or through another daemon.
  void dispatch(const RelayActions::Dispatch& action, const UpstreamEntry* upstream,
                const HeldSlotPtr& slot);
  bool takeRetry(const RelayActions::Dispatch& action);
  bool dispatchTo(const UpstreamEntry& upstream, bool resume, const HeldSlotPtr& slot);
  void forwardToPeer(bool resume);
  void noteDispatchStarted();
  void noteUpstream(const UpstreamIncarnation& upstream, const SoftwareVersion& version);
  UpstreamDispatch* directDispatch() const;
  PeerDispatch* peerDispatch() const;
  bool dispatched() const { return !std::holds_alternative<std::monostate>(dispatch_); }
  bool delivered() const;
  void forwardEvents();
  void recordRunStart();
  void notePromptDone();
  void noteCompleted();
  void recordUnansweredRun(DispatchResult result);
  void endDispatch(DispatchResult result, bool keepChannel);
  void restartSilenceTimer();
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
  Instant deadline_;

  std::variant<std::monostate, std::unique_ptr<UpstreamDispatch>, std::unique_ptr<PeerDispatch>>
      dispatch_;
  /// The upstream of the last dispatch.
  UpstreamIncarnation upstream_;
  SoftwareVersion upstreamVersion_;
  /// Daemons that didn't pass the request on.
  std::set<DaemonId> excludedPeers_;
  bool runCounted_ = false;
  int dispatchCount_ = 0;
  Instant dispatchedAt_{};
  std::optional<Instant> firstOutputAt_;

  UpstreamResponse answer_;
  HttpHead answerHead_;
  std::string answerBody_;
  bool answerIsStream_ = false;
  bool answerComplete_ = false;
  /// Complete error response, kept as a fallback while the request is retried on another upstream.
  HttpHead fallbackHead_;
  std::string fallbackBody_;
  EventSplitter splitter_;
  StreamEvent event_;
  std::string lastEventId_;

  std::uint64_t deadlineTimer_ = 0;
  std::uint64_t silenceTimer_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_TRAFFICSESSION_H
