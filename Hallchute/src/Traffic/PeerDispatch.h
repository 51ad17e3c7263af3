// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_PEERDISPATCH_H
#define HALLCHUTE_TRAFFIC_PEERDISPATCH_H

#include <cstdint>
#include <set>
#include <string_view>

#include "Hallchute/src/Traffic/ForwardedRequest.h"
#include "Hallchute/src/Traffic/RequestForwarder.h"
#include "Hallchute/src/Upstream/UpstreamChannel.h"

namespace Hallchute {

class TrafficEngine;

/// \brief Receives the response to a request that went through another daemon, or why it didn't.
/// \ingroup Traffic
class PeerDispatchListener : public UpstreamListener {
 public:
  /// \brief The other daemon is sending the request to \p upstream, which runs \p version.
  virtual void peerDispatched(const UpstreamIncarnation& upstream,
                              const SoftwareVersion& version) = 0;
  /// \brief The request was not sent: \p peer declined it, or is empty as no daemon is left.
  virtual void peerDeclined(const DaemonId& peer) = 0;
};

/// \brief One dispatch through another daemon, as this one has no connection to an upstream.
/// Traffic thread only. \ingroup Traffic
///
/// The listener may destroy it within any call.
class PeerDispatch final : public ForwardingListener {
 public:
  PeerDispatch(TrafficEngine& engine, ForwardedRequest request, std::set<DaemonId> excluded,
               PeerDispatchListener& listener);
  /// \brief Cancels the exchange at the other daemon and at the upstream.
  ~PeerDispatch() override;

  const DaemonId& peer() const { return peer_; }
  /// \brief Whether the other daemon has sent the request to an upstream.
  bool sent() const { return sent_; }

  void onPeerChosen(const DaemonId& peer) override;
  void onNotForwarded(std::string_view reason) override;
  void onForwardedReply(const ForwardedReply& reply) override;
  void onPeerLost() override;

 private:
  void on(const ForwardedReplies::Declined& reply);
  void on(const ForwardedReplies::Dispatched& reply);
  void on(const ForwardedReplies::Head& reply);
  void on(const ForwardedReplies::Body& reply);
  void on(const ForwardedReplies::Done& reply);
  void on(const ForwardedReplies::Failed& reply);

  TrafficEngine& engine_;
  PeerDispatchListener& listener_;
  RequestId request_;
  ServiceName service_;
  RequestFingerprint content_;
  DaemonId peer_;
  bool sent_ = false;
  Instant startedAt_;
  std::uint64_t exchange_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_PEERDISPATCH_H
