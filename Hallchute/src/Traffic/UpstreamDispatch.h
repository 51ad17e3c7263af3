// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_UPSTREAMDISPATCH_H
#define HALLCHUTE_TRAFFIC_UPSTREAMDISPATCH_H

#include <cstdint>
#include <memory>
#include <string>

#include "Hallchute/src/Core/SharedBytes.h"
#include "Hallchute/src/Gateway/CrashSuspects.h"
#include "Hallchute/src/Gateway/DispatchForecast.h"
#include "Hallchute/src/Gateway/UpstreamPick.h"
#include "Hallchute/src/Gateway/UpstreamTable.h"
#include "Hallchute/src/Ports/TrafficCodec.h"
#include "Hallchute/src/Traffic/HeldSlot.h"
#include "Hallchute/src/Upstream/UpstreamChannel.h"

namespace Hallchute {

class TrafficEngine;

/// \brief What is sent to an upstream. \ingroup Traffic
struct DispatchRequest {
  const HttpHead& head;
  SharedBytes body;
  /// Completed with what depends on the upstream.
  DispatchMetadata terms;
  const UpstreamCriteria& criteria;
  CrashSuspects suspects{};
  /// Tokens that the upstream processes before it responds.
  std::uint64_t promptTokens = 0;
  /// The request may be sent again if the upstream has closed the connection.
  bool repeatable = false;
  /// The slot of the upstream that the request has taken; null if it needs none.
  HeldSlotPtr slot{};
  /// Maximum tokens of the response, which occupy the upstream's memory besides the prompt.
  std::uint64_t outputTokens = 0;
};

/// \brief One exchange with an upstream, and what it teaches about the upstream's load, health and
/// limits. Traffic thread only. \ingroup Traffic
class UpstreamDispatch {
 public:
  /// \brief Sends the request; \p listener receives the response.
  /// \returns null if no connection may be opened: nothing was sent.
  static std::unique_ptr<UpstreamDispatch> start(TrafficEngine& engine,
                                                 const UpstreamEntry& upstream,
                                                 DispatchRequest request,
                                                 UpstreamListener& listener);
  ~UpstreamDispatch();
  UpstreamDispatch(const UpstreamDispatch&) = delete;
  UpstreamDispatch& operator=(const UpstreamDispatch&) = delete;

  const UpstreamIncarnation& upstream() const { return upstream_; }
  /// \brief Whether the upstream's host has acknowledged the whole request.
  bool delivered() const { return channel_ != nullptr && channel_->delivered(); }
  /// \brief Records what the head of the response says of the upstream.
  void noteAnswer(const UpstreamResponse& answer);
  /// \brief Records that the answer has begun: a later crash isn't due to a part of the prompt.
  void noteBegan();
  /// \brief Records an event of a stream, by which the upstream's speed is measured.
  void noteEvent();
  /// \brief What was expected of the upstream at the dispatch.
  const DispatchForecast& forecast() const { return forecast_; }
  /// \brief Records that the upstream sends no data although it should.
  void noteSilent() const;
  /// \brief Records a failed exchange as a crash if the upstream's process seems to have ended.
  void noteFailure(ExchangeFailure failure);
  /// \brief Ends the exchange. \param keepConnection whether the connection can be used again.
  void end(DispatchResult result, bool keepConnection);

 private:
  UpstreamDispatch(TrafficEngine& engine, UpstreamIncarnation upstream, ServiceName service,
                   std::unique_ptr<UpstreamChannel> channel, const DispatchRequest& request);
  void send(const DispatchRequest& request, UpstreamListener& listener);
  /// Records that the upstream has processed the prompt, or won't.
  void notePromptDone();
  void noteExcess() const;
  void noteIfAbandoned(DispatchResult result);
  /// Records the time to the first event, or to the end of a plain response.
  void noteProcessed(Instant now);
  void noteSpeed(DispatchResult result, Instant now);

  TrafficEngine& engine_;
  UpstreamIncarnation upstream_;
  std::string request_;
  ServiceName service_;
  std::unique_ptr<UpstreamChannel> channel_;
  CrashSuspects suspects_;
  std::uint64_t promptTokens_;
  HeldSlotPtr slot_;
  Instant startedAt_;
  DispatchForecast forecast_;
  std::uint64_t memoryTokens_;
  std::uint64_t events_ = 0;
  Instant firstEventAt_{};
  Instant lastEventAt_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_UPSTREAMDISPATCH_H
