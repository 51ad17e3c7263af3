// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Traffic/PeerDispatch.h"

#include <utility>

#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Traffic/TrafficEngine.h"

namespace Hallchute {
namespace {

constexpr int kFirstFinalStatus = 200;

}  // namespace

PeerDispatch::PeerDispatch(TrafficEngine& engine, ForwardedRequest request,
                           std::set<DaemonId> excluded, PeerDispatchListener& listener)
    : engine_(engine),
      listener_(listener),
      request_(request.criteria.requestId),
      service_(request.criteria.service),
      content_(request.suspects.content),
      startedAt_(clockNow()),
      exchange_(engine.forwarder()->forward(std::move(request), std::move(excluded), *this)) {}

PeerDispatch::~PeerDispatch() {
  // There is none any more if the daemon ends.
  if (RequestForwarder* forwarder = engine_.forwarder()) forwarder->cancel(exchange_);
  engine_.metrics().time("hallchute_forwarded_ms", "service=\"" + service_.str() + "\"",
                         clockNow() - startedAt_);
}

void PeerDispatch::onPeerChosen(const DaemonId& peer) {
  peer_ = peer;
  LogLine(LogLevel::info, "request.forwarded")
      .with("request", request_.str())
      .with("service", service_.str())
      .with("content", describe(content_))
      .with("peer", peer.str());
}

void PeerDispatch::onNotForwarded(std::string_view reason) {
  LogLine(LogLevel::info, "request.notForwarded")
      .with("request", request_.str())
      .with("service", service_.str())
      .with("reason", reason);
  listener_.peerDeclined({});
}

void PeerDispatch::onForwardedReply(const ForwardedReply& reply) {
  std::visit([this](const auto& r) { on(r); }, reply);
}

void PeerDispatch::onPeerLost() {
  listener_.upstreamFailed(ExchangeFailure::peerLost);
}

void PeerDispatch::on(const ForwardedReplies::Declined& reply) {
  LogLine(LogLevel::info, "request.declined")
      .with("request", request_.str())
      .with("peer", peer_.str())
      .with("reason", reply.reason);
  // Copied, as the listener may end this dispatch.
  listener_.peerDeclined(DaemonId(peer_));
}

void PeerDispatch::on(const ForwardedReplies::Dispatched& reply) {
  sent_ = true;
  listener_.peerDispatched(reply.upstream, reply.version);
}

void PeerDispatch::on(const ForwardedReplies::Head& reply) {
  const bool isFinal = reply.head.status >= kFirstFinalStatus;
  // The other daemon waits for no further answer after one to another request.
  if (!isFinal || !listener_.upstreamHead(reply.head))
    listener_.upstreamFailed(ExchangeFailure::malformed);
}

void PeerDispatch::on(const ForwardedReplies::Body& reply) {
  listener_.upstreamBody(reply.bytes);
}

void PeerDispatch::on(const ForwardedReplies::Done&) {
  listener_.upstreamDone();
}

void PeerDispatch::on(const ForwardedReplies::Failed& reply) {
  listener_.upstreamFailed(reply.failure);
}

}  // namespace Hallchute
