// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Traffic/SessionDispatch.h"

#include <utility>

#include "Hallchute/src/Gateway/UpstreamTable.h"
#include "Hallchute/src/Net/Clock.h"

namespace Hallchute {

SessionDispatch::SessionDispatch(SessionDispatchListener& listener)
    : listener_(listener), startedAt_(clockNow()) {}

bool SessionDispatch::sendTo(TrafficEngine& engine, const UpstreamEntry& upstream,
                             DispatchRequest request) {
  upstream_ = {upstream.record.id, upstream.record.incarnation};
  version_ = upstream.record.version;
  std::unique_ptr<UpstreamDispatch> exchange =
      UpstreamDispatch::start(engine, upstream, std::move(request), *this);
  if (exchange == nullptr) return false;
  forecast_ = exchange->forecast();
  exchange_ = std::move(exchange);
  return true;
}

void SessionDispatch::sendThroughPeer(TrafficEngine& engine, ForwardedRequest request,
                                      std::set<DaemonId> excluded) {
  exchange_ =
      std::make_unique<PeerDispatch>(engine, std::move(request), std::move(excluded), *this);
}

void SessionDispatch::end(DispatchResult result, bool keepConnection) {
  if (UpstreamDispatch* exchange = direct()) exchange->end(result, keepConnection);
  exchange_ = std::monostate{};
  result_ = result;
}

void SessionDispatch::noteSilent() {
  if (std::exchange(silent_, true)) return;
  if (const UpstreamDispatch* exchange = direct()) exchange->noteSilent();
}

bool SessionDispatch::delivered() const {
  if (const UpstreamDispatch* exchange = direct()) return exchange->delivered();
  const PeerDispatch* forwarded = peer();
  return forwarded != nullptr && forwarded->sent();
}

UpstreamDispatch* SessionDispatch::direct() const {
  const auto* exchange = std::get_if<std::unique_ptr<UpstreamDispatch>>(&exchange_);
  return exchange == nullptr ? nullptr : exchange->get();
}

const PeerDispatch* SessionDispatch::peer() const {
  const auto* exchange = std::get_if<std::unique_ptr<PeerDispatch>>(&exchange_);
  return exchange == nullptr ? nullptr : exchange->get();
}

bool SessionDispatch::upstreamHead(const HttpHead& head) {
  head_ = head;
  body_.clear();
  return listener_.answerBegan(*this);
}

HeldBytes SessionDispatch::upstreamBody(std::string_view bytes) {
  if (!isStream_) {
    body_.append(bytes);
    return {body_.size(), false};
  }
  events_.add(bytes);
  listener_.streamContinued(*this);
  return {events_.incompleteEvent().size(), true};
}

void SessionDispatch::peerDispatched(const UpstreamIncarnation& upstream,
                                     const SoftwareVersion& version) {
  upstream_ = upstream;
  version_ = version;
  listener_.dispatchForwarded(*this);
}

}  // namespace Hallchute
