// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_ASSISTEDDISPATCH_H
#define HALLCHUTE_TRAFFIC_ASSISTEDDISPATCH_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "Hallchute/src/Gateway/RequestHolder.h"
#include "Hallchute/src/Relay/EventSplitter.h"
#include "Hallchute/src/Traffic/ForwardedReply.h"
#include "Hallchute/src/Traffic/ForwardedRequest.h"
#include "Hallchute/src/Traffic/HeldSlot.h"
#include "Hallchute/src/Upstream/UpstreamChannel.h"

namespace Hallchute {

class TrafficEngine;
class UpstreamDispatch;
struct UpstreamEntry;

/// \brief One dispatch on behalf of another daemon, which has no connection to the upstreams.
/// Traffic thread only. \ingroup Traffic
///
/// Never forwards a request further, so that requests can't travel in a circle, and never repeats
/// it: the other daemon decides on that.
class AssistedDispatch final : public UpstreamListener,
                               public RequestHolder,
                               public std::enable_shared_from_this<AssistedDispatch> {
 public:
  using ReplySink = std::function<void(const ForwardedReply& reply)>;

  /// \param id the number under which the engine keeps it.
  AssistedDispatch(TrafficEngine& engine, std::uint64_t id, ForwardedRequest request,
                   ReplySink reply);
  ~AssistedDispatch() override;

  /// \returns whether the request is being sent or waits for a slot; otherwise it was declined.
  bool begin();
  /// \brief Ends the exchange with the upstream, as the other daemon wants no reply.
  void cancel();

  bool upstreamHead(const HttpHead& head) override;
  HeldBytes upstreamBody(std::string_view bytes) override;
  void upstreamDone() override;
  void upstreamFailed(ExchangeFailure failure) override;
  /// It is complete, and never given up.
  void giveUp() override {}

 private:
  bool decline(std::string_view reason);
  void dispatch(const UpstreamEntry* upstream, const HeldSlotPtr& slot);
  void logEnd(std::string_view outcome) const;

  TrafficEngine& engine_;
  std::uint64_t id_;
  ForwardedRequest request_;
  ReplySink reply_;
  std::unique_ptr<UpstreamDispatch> dispatch_;
  UpstreamResponse answer_;
  /// Follows the events of a stream; nothing for another response.
  std::optional<EventSplitter> events_;
  /// Bytes of a response that the other daemon holds until it is whole.
  std::size_t bodyBytes_ = 0;
  bool endsAtClose_ = false;
  int status_ = 0;
  /// It was declined or cancelled.
  bool ended_ = false;
  Instant startedAt_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_ASSISTEDDISPATCH_H
