// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_SESSIONDISPATCH_H
#define HALLCHUTE_TRAFFIC_SESSIONDISPATCH_H

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "Hallchute/src/Gateway/UpstreamRecord.h"
#include "Hallchute/src/Ports/TrafficCodec.h"
#include "Hallchute/src/Relay/EventSplitter.h"
#include "Hallchute/src/Traffic/PeerDispatch.h"
#include "Hallchute/src/Traffic/UpstreamDispatch.h"

namespace Hallchute {

class SessionDispatch;
class TrafficEngine;
struct ForwardedRequest;

/// \brief Receives the progress of a session's dispatches. \ingroup Traffic
class SessionDispatchListener {
 public:
  SessionDispatchListener() = default;
  SessionDispatchListener(const SessionDispatchListener&) = delete;
  SessionDispatchListener& operator=(const SessionDispatchListener&) = delete;
  virtual ~SessionDispatchListener() = default;

  /// \brief Another daemon is sending the request to the dispatch's upstream.
  virtual void dispatchForwarded(SessionDispatch& dispatch) = 0;
  /// \brief The request was not sent: \p peer declined it, or is empty as no daemon is left.
  virtual void dispatchDeclined(SessionDispatch& dispatch, const DaemonId& peer) = 0;
  /// \brief The head of the answer is known.
  /// \returns false if it answers another request: it is read and discarded.
  virtual bool answerBegan(SessionDispatch& dispatch) = 0;
  /// \brief More bytes of a stream of events have arrived.
  virtual void streamContinued(SessionDispatch& dispatch) = 0;
  virtual void answerEnded(SessionDispatch& dispatch) = 0;
  virtual void dispatchFailed(SessionDispatch& dispatch, ExchangeFailure failure) = 0;
};

/// \brief One dispatch of a session's request, to an upstream or through another daemon, and the
/// answer to it so far. Traffic thread only. \ingroup Traffic
///
/// The listener may end it, but not destroy it, within any call.
class SessionDispatch final : public PeerDispatchListener {
 public:
  explicit SessionDispatch(SessionDispatchListener& listener);

  /// \brief Sends the request to an upstream. \returns false if no connection may be opened.
  bool sendTo(TrafficEngine& engine, const UpstreamEntry& upstream, DispatchRequest request);
  /// \brief Sends the request through another daemon.
  void sendThroughPeer(TrafficEngine& engine, ForwardedRequest request,
                       std::set<DaemonId> excluded);
  /// \brief Ends the exchange; does nothing if it has ended.
  void end(DispatchResult result, bool keepConnection);
  /// \brief Records, once until data comes, that the upstream sends none although it should.
  void noteSilent();

  bool isOpen() const { return !std::holds_alternative<std::monostate>(exchange_); }
  /// \brief How it ended; nothing while it is open.
  std::optional<DispatchResult> result() const { return result_; }
  /// \brief Whether no data has come since noteSilent().
  bool silent() const { return silent_; }
  void noteData() { silent_ = false; }
  /// \brief Records that the first event, or a whole plain answer, has come. \returns whether it is
  /// the first call.
  bool noteFirstEvent() { return !std::exchange(hasFirstEvent_, true); }
  bool hasFirstEvent() const { return hasFirstEvent_; }
  /// \brief Whether the request reached an upstream, as far as is known. During a network partition
  /// it is not delivered; resetting the connection discards it.
  bool delivered() const;
  /// \brief Null if it goes through another daemon or has ended.
  UpstreamDispatch* direct() const;
  /// \brief Null if it doesn't go through another daemon or has ended.
  const PeerDispatch* peer() const;
  const UpstreamIncarnation& upstream() const { return upstream_; }
  const SoftwareVersion& version() const { return version_; }
  Instant startedAt() const { return startedAt_; }
  /// \brief What this daemon expected of the upstream; default if another daemon chose it.
  const DispatchForecast& forecast() const { return forecast_; }
  /// \brief What the head of the answer says of the upstream; set by the session.
  const UpstreamResponse& response() const { return response_; }
  void setResponse(UpstreamResponse response) { response_ = std::move(response); }
  const HttpHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  /// \brief Whether the answer is a stream of events; set by the session.
  bool isStream() const { return isStream_; }
  void setIsStream(bool stream) { isStream_ = stream; }
  /// \brief The events of a stream that have not been taken yet.
  EventSplitter& events() { return events_; }

  bool upstreamHead(const HttpHead& head) override;
  HeldBytes upstreamBody(std::string_view bytes) override;
  void upstreamDone() override { listener_.answerEnded(*this); }
  void upstreamFailed(ExchangeFailure failure) override {
    listener_.dispatchFailed(*this, failure);
  }
  void peerDispatched(const UpstreamIncarnation& upstream, const SoftwareVersion& version) override;
  void peerDeclined(const DaemonId& peer) override { listener_.dispatchDeclined(*this, peer); }

 private:
  SessionDispatchListener& listener_;
  std::variant<std::monostate, std::unique_ptr<UpstreamDispatch>, std::unique_ptr<PeerDispatch>>
      exchange_;
  UpstreamIncarnation upstream_;
  SoftwareVersion version_;
  Instant startedAt_;
  DispatchForecast forecast_;
  UpstreamResponse response_;
  HttpHead head_;
  std::string body_;
  EventSplitter events_;
  bool isStream_ = false;
  bool silent_ = false;
  bool hasFirstEvent_ = false;
  std::optional<DispatchResult> result_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_SESSIONDISPATCH_H
