// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_TRAFFICSESSION_H
#define HALLCHUTE_TRAFFIC_TRAFFICSESSION_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Hallchute/src/Gateway/RouteTable.h"
#include "Hallchute/src/Gateway/UpstreamPick.h"
#include "Hallchute/src/Ports/TrafficCodec.h"
#include "Hallchute/src/Relay/EventSplitter.h"
#include "Hallchute/src/Relay/RelayStateMachine.h"
#include "Hallchute/src/Upstream/UpstreamChannel.h"

namespace Hallchute {

class FrontExchange;
class TrafficEngine;

/// \brief A request that was admitted, and under which settings. \ingroup Traffic
struct SessionAdmission {
  /// Keeps `route` and `organisation` alive when settings change meanwhile.
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  /// Null on open routes.
  const GatewayOrganisation* organisation = nullptr;
  ClientRequest request;
  double quotaTaken = 0;
};

/// \brief One admitted request with its connections: carries out what RelayCourse decides.
/// \ingroup Traffic
class TrafficSession final : public UpstreamListener,
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
  void upstreamFailed(bool sent) override;

 private:
  void take(const RelayEvent& event);
  void perform(const RelayActions::Dispatch& action);
  void perform(const RelayActions::Cancel& action);
  void perform(const RelayActions::ForwardEvent& action);
  void perform(const RelayActions::EndStream& action);
  void perform(const RelayActions::ForwardResponse& action);
  void perform(const RelayActions::Refuse& action);
  void perform(const RelayActions::Fail& action);
  void perform(const RelayActions::AbortStream& action);

  std::string cacheSourceFor(const UpstreamEntry& chosen) const;
  bool sendTo(const UpstreamEntry& upstream, bool resume);
  void passEvents();
  void noteRunBegan();
  void notePromptDone();
  void noteLostRun(DispatchResult result);
  void endDispatch(DispatchResult result, bool keepChannel);
  void startSilenceTimer();
  void stopTimers();
  void finish(std::string_view outcome, int status);
  Millis remaining() const;
  static HttpFields passedFields(const HttpHead& head);
  bool alreadyPassed(const StreamEvent& event) const;

  TrafficEngine& engine_;
  std::uint64_t id_;
  std::shared_ptr<FrontExchange> exchange_;
  SessionAdmission admission_;
  ServiceName service_;
  UpstreamCriteria wish_;
  RelayStateMachine course_;
  Instant deadline_;

  std::unique_ptr<UpstreamChannel> channel_;
  UpstreamId upstream_;
  std::uint64_t upstreamIncarnation_ = 0;
  bool dispatched_ = false;
  bool runCounted_ = false;
  /// Tokens that the upstream still has to read before its answer begins.
  std::uint64_t unreadTokens_ = 0;
  int dispatches_ = 0;
  Instant dispatchedAt_{};
  std::optional<Instant> firstPieceAt_;

  UpstreamAnswer answer_;
  HttpHead answerHead_;
  std::string answerBody_;
  bool answerIsStream_ = false;
  bool answerWhole_ = false;
  /// A whole answer that says failure, kept while another upstream is asked.
  HttpHead spareHead_;
  std::string spareBody_;
  EventSplitter splitter_;
  StreamEvent piece_;
  std::string lastEventId_;

  std::uint64_t deadlineTimer_ = 0;
  std::uint64_t silenceTimer_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_TRAFFICSESSION_H
