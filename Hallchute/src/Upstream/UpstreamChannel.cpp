// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Upstream/UpstreamChannel.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <utility>

#include "Hallchute/src/Net/EventLoop.h"

namespace Hallchute {
namespace {

/// An answer's head and body may be larger than a caller's: nothing bounds them but memory.
constexpr HttpReaderLimits kAnswerLimits{64U << 10U, 64U << 20U};
constexpr int kFirstFinalStatus = 200;
/// Longer than a packet takes that is lost twice and sent again (after 0.2 and 0.6 s): a third loss
/// of the same one is rarer than a cut.
constexpr Millis kUnacknowledged{1'500};

/// The seconds of a `Keep-Alive: timeout=N` field; zero if there are none.
Millis announcedIdleOf(const HttpFields& fields) {
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
    : loop_(loop), channel_(loop, address, source, connectLimit, *this), reader_(freshReader()) {}

UpstreamChannel::~UpstreamChannel() {
  stopAwaiting();
}

HttpReader UpstreamChannel::freshReader() {
  return {HttpSide::answers, kAnswerLimits};
}

void UpstreamChannel::start(std::string_view request, bool answerHasNoBody,
                            UpstreamListener& listener) {
  listener_ = &listener;
  answerHasNoBody_ = answerHasNoBody;
  reader_ = freshReader();
  if (answerHasNoBody_) reader_.expectNoBody();
  headTaken_ = false;
  discarding_ = false;
  sentBefore_ = channel_.sentBytes();
  channel_.send(request);
  awaitAcknowledgement(request.size());
}

/// Resets the connection if a period passes without the upstream's host taking anything.
void UpstreamChannel::awaitAcknowledgement(std::size_t unacknowledgedBefore) {
  acknowledgementTimer_ = loop_.after(kUnacknowledged, [this, unacknowledgedBefore] {
    acknowledgementTimer_ = 0;
    const std::size_t left = channel_.unacknowledged();
    if (left == 0) return;
    if (left < unacknowledgedBefore) {
      awaitAcknowledgement(left);
    } else {
      fail(channel_.sentBytes() > sentBefore_);
    }
  });
}

void UpstreamChannel::stopAwaiting() {
  loop_.cancel(std::exchange(acknowledgementTimer_, 0));
}

void UpstreamChannel::abort() {
  stopAwaiting();
  listener_ = nullptr;
  sound_ = false;
  channel_.abort();
}

bool UpstreamChannel::reusable() const {
  return sound_ && listener_ == nullptr && in_.empty() && channel_.unsent() == 0;
}

void UpstreamChannel::channelBytes(std::string_view bytes) {
  if (listener_ == nullptr) {
    // Bytes that no request asked for: whatever comes next here can't be trusted.
    sound_ = false;
    if (onIdleEnd) onIdleEnd();
    return;
  }
  in_.append(bytes);
  readAnswer();
}

void UpstreamChannel::readAnswer() {
  while (listener_ != nullptr && !in_.empty()) {
    const HttpProgress progress = reader_.read(in_);
    if (progress != HttpProgress::needsMore && progress != HttpProgress::complete) {
      fail(true);
      return;
    }
    if (reader_.hasHead() && !headTaken_ && !takeHead()) continue;
    passBody();
    if (progress == HttpProgress::needsMore) return;
    finish();
  }
}

/// \returns false if the message is done with and the next one is due.
bool UpstreamChannel::takeHead() {
  const HttpHead& head = reader_.head();
  if (head.status < kFirstFinalStatus) {
    reader_ = freshReader();
    if (answerHasNoBody_) reader_.expectNoBody();
    return false;
  }
  headTaken_ = true;
  if (!head.keepAlive) sound_ = false;
  announcedIdle_ = announcedIdleOf(head.fields);
  if (listener_->upstreamHead(head)) return true;
  discarding_ = true;
  sound_ = false;
  return true;
}

void UpstreamChannel::passBody() {
  const std::string body = reader_.takeBody();
  if (!discarding_ && !body.empty() && listener_ != nullptr) listener_->upstreamBody(body);
}

void UpstreamChannel::finish() {
  if (discarding_) {
    discarding_ = false;
    headTaken_ = false;
    reader_ = freshReader();
    return;
  }
  stopAwaiting();
  UpstreamListener* listener = std::exchange(listener_, nullptr);
  // Surplus bytes belong to no request.
  if (!in_.empty()) sound_ = false;
  if (listener != nullptr) listener->upstreamDone();
}

void UpstreamChannel::fail(bool sent) {
  stopAwaiting();
  sound_ = false;
  UpstreamListener* listener = std::exchange(listener_, nullptr);
  channel_.abort();
  if (listener != nullptr) listener->upstreamFailed(sent);
}

void UpstreamChannel::channelEnded(ChannelEnd end) {
  stopAwaiting();
  sound_ = false;
  if (listener_ == nullptr) {
    if (onIdleEnd) onIdleEnd();
    return;
  }
  const bool endsMessage = end == ChannelEnd::finished && headTaken_ && !discarding_ &&
                           reader_.end() == HttpProgress::complete;
  if (endsMessage) {
    finish();
    return;
  }
  fail(end != ChannelEnd::notConnected && channel_.sentBytes() > sentBefore_);
}

}  // namespace Hallchute
