// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Upstream/UpstreamChannel.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <utility>

#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Upstream/AnswerMemory.h"

namespace Hallchute {
namespace {

/// Heads of answers may be larger than those of requests. The body's limit is that of a whole
/// stream; what is held of an answer is bounded by AnswerBounds.
constexpr HttpReaderLimits kAnswerLimits{64U << 10U, 64U << 20U, 256};
/// Bytes of interim responses before an answer.
constexpr std::uint64_t kMaxInterimBytes = 64U << 10U;
/// Bytes of answers to other requests before an answer.
constexpr std::uint64_t kMaxForeignBytes = 1U << 20U;
/// Bytes of the body of a server error or a rejection: a message for people, not a result.
constexpr std::size_t kMaxErrorBytes = std::size_t{256} << 10U;
constexpr int kServerError = 500;
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
                                 const std::string& source, Millis connectLimit,
                                 std::shared_ptr<AnswerMemory> memory)
    : loop_(loop),
      channel_(loop, address, source, connectLimit, *this),
      reader_(newReader()),
      memory_(std::move(memory)) {}

UpstreamChannel::~UpstreamChannel() {
  memory_->setHeld(*this, 0);
  cancelAcknowledgementTimer();
}

HttpReader UpstreamChannel::newReader() {
  return {HttpMessageType::responses, kAnswerLimits};
}

void UpstreamChannel::start(std::string_view request, bool answerHasNoBody,
                            UpstreamListener& listener, const SharedBytes& rest) {
  listener_ = &listener;
  answerHasNoBody_ = answerHasNoBody;
  reader_ = newReader();
  if (answerHasNoBody_) reader_.expectNoBody();
  headReceived_ = false;
  discarding_ = false;
  discarded_ = false;
  receivedBytes_ = 0;
  heldByListener_ = 0;
  excess_ = {};
  sentBytesAtStart_ = channel_.sentBytes();
  channel_.send(request, rest);
  watchAcknowledgement(request.size() + (rest == nullptr ? 0 : rest->size()));
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
  memory_->setHeld(*this, 0);
  channel_.abort();
}

bool UpstreamChannel::reusable() const {
  return usable_ && listener_ == nullptr && input_.empty() && channel_.unsent() == 0;
}

void UpstreamChannel::onChannelBytes(std::string_view bytes) {
  if (listener_ == nullptr) {
    // Data without a request: a later response on this connection can't be matched reliably.
    usable_ = false;
    unexpected_ = true;
    if (onIdleClosed) onIdleClosed();
    return;
  }
  input_.append(bytes);
  receivedBytes_ += bytes.size();
  readAnswer();
}

void UpstreamChannel::readAnswer() {
  while (listener_ != nullptr && !input_.empty()) {
    const HttpProgress progress = reader_.read(input_);
    if (progress != HttpProgress::needsMore && progress != HttpProgress::complete) {
      failAt(progress);
      return;
    }
    const bool interim = reader_.hasHead() && !headReceived_ && !handleHead();
    if (!interim) forwardBody();
    if (receivedTooMuchBeforeAnswer()) {
      failAsUnbounded(discarded_ ? "foreignAnswer" : "head");
      return;
    }
    if (interim) continue;
    if (progress == HttpProgress::needsMore) {
      if (listener_ != nullptr) noteHeld();
      return;
    }
    finish();
  }
}

void UpstreamChannel::failAt(HttpProgress progress) {
  switch (progress) {
    case HttpProgress::headTooLarge:
      return failAsUnbounded("head");
    case HttpProgress::bodyTooLarge:
      return failAsUnbounded("body");
    case HttpProgress::framingTooLarge:
      return failAsUnbounded("framing");
    case HttpProgress::malformed:
    case HttpProgress::needsMore:
    case HttpProgress::complete:
      return fail(ExchangeFailure::malformed);
  }
}

/// The reader bounds a single head.
bool UpstreamChannel::receivedTooMuchBeforeAnswer() const {
  if (listener_ == nullptr || (headReceived_ && !discarding_)) return false;
  return consumedBytes() > (discarded_ ? kMaxForeignBytes : kMaxInterimBytes);
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
  discarded_ = true;
  usable_ = false;
  return true;
}

void UpstreamChannel::forwardBody() {
  const std::string body = reader_.takeBody();
  if (discarding_ || body.empty() || listener_ == nullptr) return;
  const bool isError = reader_.head().status >= kServerError;
  const HeldBytes held = listener_->upstreamBody(body);
  if (listener_ == nullptr) return;
  const AnswerBounds& bounds = memory_->bounds();
  const std::size_t bodyBound = isError ? kMaxErrorBytes : bounds.bodyBytes;
  if (held.bytes > (held.ofEvent ? bounds.eventBytes : bodyBound)) {
    failAsUnbounded(held.ofEvent ? "event" : "body");
    return;
  }
  heldByListener_ = held.bytes;
}

/// What this connection holds of the answer that it waits for.
void UpstreamChannel::noteHeld() {
  const std::size_t head = headReceived_ ? 0 : static_cast<std::size_t>(consumedBytes());
  memory_->setHeld(*this, heldByListener_ + head + input_.size());
}

void UpstreamChannel::finish() {
  if (discarding_) {
    discarding_ = false;
    headReceived_ = false;
    reader_ = newReader();
    return;
  }
  cancelAcknowledgementTimer();
  memory_->setHeld(*this, 0);
  UpstreamListener* listener = std::exchange(listener_, nullptr);
  // Data after the response belongs to no request.
  unexpected_ = !input_.empty();
  if (unexpected_) usable_ = false;
  if (listener != nullptr) listener->upstreamDone();
}

void UpstreamChannel::failAsUnbounded(std::string_view reason) {
  if (listener_ == nullptr) return;
  excess_ = {reason, receivedBytes_};
  fail(ExchangeFailure::unbounded);
}

void UpstreamChannel::fail(ExchangeFailure failure) {
  cancelAcknowledgementTimer();
  memory_->setHeld(*this, 0);
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
