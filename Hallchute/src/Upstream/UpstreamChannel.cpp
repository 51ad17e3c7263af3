// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Upstream/UpstreamChannel.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <utility>

#include "Hallchute/src/Net/EventLoop.h"

namespace Hallchute {
namespace {

/// Responses may be larger than callers' requests: these limits only bound the memory use.
constexpr HttpReaderLimits kAnswerLimits{64U << 10U, 64U << 20U};
constexpr int kFirstFinalStatus = 200;
/// Longer than two retransmissions of a lost packet take (after 0.2 and 0.6 s): a third loss of the
/// same packet is rarer than a network partition.
constexpr Millis kAcknowledgementTimeout{1'500};
/// Longer than one retransmission of a lost packet takes: a sign of a network partition.
constexpr Millis kAcknowledgementDelay{250};

/// The timeout of a `Keep-Alive: timeout=N` field, with N in seconds; zero if there is none.
Millis keepAliveTimeoutOf(const HttpFields& fields) {
  const std::string_view value = fields.get("Keep-Alive");
  for (const absl::string_view part :
       absl::StrSplit(absl::string_view(value.data(), value.size()), absl::ByAnyChar(",; "))) {
    const std::pair<absl::string_view, absl::string_view> pair = absl::StrSplit(part, '=');
    int seconds = 0;
    if (pair.first == "timeout" && absl::SimpleAtoi(pair.second, &seconds) && seconds >= 0) {
      return Millis(std::chrono::seconds(seconds));
    }
  }
  return Millis(0);
}

}  // namespace

UpstreamChannel::UpstreamChannel(EventLoop& loop, const std::string& address,
                                 const std::string& source, Millis connectLimit)
    : loop_(loop), channel_(loop, address, source, connectLimit, *this), reader_(newReader()) {}

UpstreamChannel::~UpstreamChannel() {
  cancelAcknowledgementTimer();
}

HttpReader UpstreamChannel::newReader() {
  return {HttpMessageType::responses, kAnswerLimits};
}

void UpstreamChannel::start(std::string_view request, bool answerHasNoBody,
                            UpstreamListener& listener) {
  listener_ = &listener;
  answerHasNoBody_ = answerHasNoBody;
  reader_ = newReader();
  if (answerHasNoBody_) reader_.expectNoBody();
  headReceived_ = false;
  discarding_ = false;
  sentBytesAtStart_ = channel_.sentBytes();
  channel_.send(request);
  watchAcknowledgement(request.size());
}

/// Reports a late acknowledgement and then waits for the rest of the timeout.
void UpstreamChannel::watchAcknowledgement(std::size_t unacknowledgedBefore) {
  acknowledgementTimer_ = loop_.after(kAcknowledgementDelay, [this, unacknowledgedBefore] {
    acknowledgementTimer_ = 0;
    const std::size_t left = channel_.unacknowledged();
    if (left == 0) return;
    awaitAcknowledgement(left, kAcknowledgementTimeout - kAcknowledgementDelay);
    if (left >= unacknowledgedBefore && onAcknowledgementDelayed) onAcknowledgementDelayed();
  });
}

/// Fails the exchange and resets the connection if the upstream's host acknowledges no data for
/// \p timeout.
void UpstreamChannel::awaitAcknowledgement(std::size_t unacknowledgedBefore, Millis timeout) {
  acknowledgementTimer_ = loop_.after(timeout, [this, unacknowledgedBefore] {
    acknowledgementTimer_ = 0;
    const std::size_t left = channel_.unacknowledged();
    if (left == 0) return;
    if (left < unacknowledgedBefore) {
      awaitAcknowledgement(left, kAcknowledgementTimeout);
    } else {
      const bool sent = channel_.sentBytes() > sentBytesAtStart_;
      fail(sent ? ExchangeFailure::unacknowledged : ExchangeFailure::notSent);
    }
  });
}

void UpstreamChannel::cancelAcknowledgementTimer() {
  loop_.cancel(std::exchange(acknowledgementTimer_, 0));
}

void UpstreamChannel::abort() {
  cancelAcknowledgementTimer();
  listener_ = nullptr;
  usable_ = false;
  channel_.abort();
}

bool UpstreamChannel::reusable() const {
  return usable_ && listener_ == nullptr && input_.empty() && channel_.unsent() == 0;
}

void UpstreamChannel::onChannelBytes(std::string_view bytes) {
  if (listener_ == nullptr) {
    // Data without a request: a later response on this connection can't be matched reliably.
    usable_ = false;
    if (onIdleClosed) onIdleClosed();
    return;
  }
  input_.append(bytes);
  readAnswer();
}

void UpstreamChannel::readAnswer() {
  while (listener_ != nullptr && !input_.empty()) {
    const HttpProgress progress = reader_.read(input_);
    if (progress != HttpProgress::needsMore && progress != HttpProgress::complete) {
      fail(ExchangeFailure::malformed);
      return;
    }
    if (reader_.hasHead() && !headReceived_ && !handleHead()) continue;
    forwardBody();
    if (progress == HttpProgress::needsMore) return;
    finish();
  }
}

/// \returns false for an interim (1xx) response, after which the next message is read.
bool UpstreamChannel::handleHead() {
  const HttpHead& head = reader_.head();
  if (head.status < kFirstFinalStatus) {
    reader_ = newReader();
    if (answerHasNoBody_) reader_.expectNoBody();
    return false;
  }
  headReceived_ = true;
  if (!head.keepAlive) usable_ = false;
  keepAliveTimeout_ = keepAliveTimeoutOf(head.fields);
  if (listener_->upstreamHead(head)) return true;
  discarding_ = true;
  usable_ = false;
  return true;
}

void UpstreamChannel::forwardBody() {
  const std::string body = reader_.takeBody();
  if (!discarding_ && !body.empty() && listener_ != nullptr) listener_->upstreamBody(body);
}

void UpstreamChannel::finish() {
  if (discarding_) {
    discarding_ = false;
    headReceived_ = false;
    reader_ = newReader();
    return;
  }
  cancelAcknowledgementTimer();
  UpstreamListener* listener = std::exchange(listener_, nullptr);
  // Data after the response belongs to no request.
  if (!input_.empty()) usable_ = false;
  if (listener != nullptr) listener->upstreamDone();
}

void UpstreamChannel::fail(ExchangeFailure failure) {
  cancelAcknowledgementTimer();
  usable_ = false;
  UpstreamListener* listener = std::exchange(listener_, nullptr);
  channel_.abort();
  if (listener != nullptr) listener->upstreamFailed(failure);
}

void UpstreamChannel::onChannelConnected() {
  if (onConnectResult) onConnectResult(true);
}

void UpstreamChannel::onChannelEnded(ChannelEnd end) {
  cancelAcknowledgementTimer();
  usable_ = false;
  if (end == ChannelEnd::notConnected && onConnectResult) onConnectResult(false);
  if (listener_ == nullptr) {
    if (onIdleClosed) onIdleClosed();
    return;
  }
  const bool endsMessage = end == ChannelEnd::peerClosed && headReceived_ && !discarding_ &&
                           reader_.end() == HttpProgress::complete;
  if (endsMessage) {
    finish();
    return;
  }
  const bool sent = end != ChannelEnd::notConnected && channel_.sentBytes() > sentBytesAtStart_;
  fail(sent ? ExchangeFailure::connectionEnded : ExchangeFailure::notSent);
}

}  // namespace Hallchute
