// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/ForwardingLink.h"

#include <string>
#include <utility>

#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Net/PeerSession.h"
#include "Hallchute/src/Net/PeerTransport.h"
#include "Hallchute/src/Node/ForwardingWire.h"
#include "Hallchute/src/Observability/LogLine.h"

namespace Hallchute {
namespace {

constexpr std::string_view kRequestPath = "/gateway/request";

bool isLast(const ForwardedReply& reply) {
  return std::holds_alternative<ForwardedReplies::Declined>(reply) ||
         std::holds_alternative<ForwardedReplies::Done>(reply) ||
         std::holds_alternative<ForwardedReplies::Failed>(reply);
}

}  // namespace

ForwardingLink::ForwardingLink(EventLoop& traffic, EventLoop& control, PeerTransport& transport,
                               Callbacks callbacks)
    : traffic_(traffic),
      control_(control),
      transport_(transport),
      callbacks_(std::move(callbacks)) {
  transport_.serve(kRequestPath, [this](const PeerStreamPtr& stream) { serve(stream); });
}

std::uint64_t ForwardingLink::forward(ForwardedRequest request, std::set<DaemonId> excluded,
                                      ForwardingListener& listener) {
  const std::uint64_t exchange = nextExchange_++;
  listeners_[exchange] = &listener;
  control_.post([this, exchange, request = std::move(request), excluded = std::move(excluded)] {
    open(exchange, request, excluded);
  });
  return exchange;
}

void ForwardingLink::cancel(std::uint64_t exchange) {
  if (listeners_.erase(exchange) == 0) return;
  control_.post([this, exchange] {
    const auto it = streams_.find(exchange);
    if (it == streams_.end()) return;
    it->second->close();
    streams_.erase(it);
  });
}

void ForwardingLink::open(std::uint64_t exchange, const ForwardedRequest& request,
                          const std::set<DaemonId>& excluded) {
  const std::optional<FleetMember> peer = callbacks_.choosePeer(request, excluded);
  if (!peer) {
    notify(exchange, [](ForwardingListener& l) { l.onNotForwarded("noPeer"); });
    return;
  }
  const std::string message = packForwarded(request);
  if (message.size() > PeerSession::kMaxMessageBytes) {
    notify(exchange, [](ForwardingListener& l) { l.onNotForwarded("tooLarge"); });
    return;
  }
  notify(exchange, [daemon = peer->daemon](ForwardingListener& l) { l.onPeerChosen(daemon); });
  const PeerStreamPtr stream = transport_.open(peer->address, kRequestPath, message);
  stream->onMessage = [this, exchange](std::string_view bytes) { receive(exchange, bytes); };
  stream->onClosed = [this, exchange] {
    streams_.erase(exchange);
    notify(exchange, [](ForwardingListener& l) { l.onPeerLost(); });
  };
  streams_[exchange] = stream;
}

void ForwardingLink::receive(std::uint64_t exchange, std::string_view bytes) {
  std::optional<ForwardedReply> reply = unpackForwardedReply(bytes);
  if (reply) {
    notify(exchange,
           [reply = std::move(*reply)](ForwardingListener& l) { l.onForwardedReply(reply); });
    return;
  }
  LogLine(LogLevel::warning, "forwarding.unreadable").with("bytes", bytes.size());
  // What follows can't be trusted either.
  notify(exchange, [](ForwardingListener& l) { l.onPeerLost(); });
}

void ForwardingLink::notify(std::uint64_t exchange, std::function<void(ForwardingListener&)> call) {
  traffic_.post([this, exchange, call = std::move(call)] {
    const auto it = listeners_.find(exchange);
    if (it != listeners_.end()) call(*it->second);
  });
}

void ForwardingLink::serve(const PeerStreamPtr& stream) {
  const std::uint64_t assist = nextAssist_++;
  served_[assist] = stream;
  stream->onMessage = [this, assist](std::string_view message) { beginAssist(assist, message); };
  stream->onClosed = [this, assist] {
    served_.erase(assist);
    traffic_.post([this, assist] { callbacks_.cancelAssist(assist); });
  };
}

void ForwardingLink::beginAssist(std::uint64_t assist, std::string_view message) {
  std::optional<ForwardedRequest> request = unpackForwardedRequest(message);
  if (!request) {
    LogLine(LogLevel::warning, "forwarding.unreadable").with("bytes", message.size());
    sendReply(assist, ForwardedReplies::Declined{"unreadable"});
    return;
  }
  traffic_.post([this, assist, request = std::move(*request)]() mutable {
    callbacks_.assist(assist, std::move(request), [this, assist](const ForwardedReply& reply) {
      control_.post([this, assist, reply] { sendReply(assist, reply); });
    });
  });
}

void ForwardingLink::sendReply(std::uint64_t assist, const ForwardedReply& reply) {
  const auto it = served_.find(assist);
  const PeerStreamPtr stream = it == served_.end() ? nullptr : it->second.lock();
  if (stream == nullptr) return;
  stream->send(packForwarded(reply));
  if (isLast(reply)) stream->finish();
}

}  // namespace Hallchute
