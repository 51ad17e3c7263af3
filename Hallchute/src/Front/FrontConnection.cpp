// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Front/FrontConnection.h"

#include <utility>

#include "Hallchute/src/Front/FrontExchange.h"
#include "Hallchute/src/Front/FrontHandler.h"
#include "Hallchute/src/Front/FrontServer.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"

namespace Hallchute {
namespace {

/// Bytes that a caller may send ahead while its request is being answered.
constexpr std::size_t kReadAhead = 64U << 10U;
/// How long a closing connection waits for the caller to close it too: closing a socket with
/// unread bytes resets it, and the last answer may be lost with it.
constexpr Millis kLinger{1'000};
/// What a caller that doesn't read may hold of an answer.
constexpr std::size_t kMostUnsent = 8U << 20U;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeadTooLarge = 431;
/// No answer is sent: the connection was idle.
constexpr int kNoAnswer = 0;

}  // namespace

FrontConnection::FrontConnection(FrontServer& server, std::uint64_t id,
                                 const Poco::Net::StreamSocket& socket)
    : server_(server), id_(id), channel_(server.loop(), socket, *this), reader_(freshReader()) {
  setTimer(server_.limits().idleTimeout, kNoAnswer);
}

FrontConnection::~FrontConnection() {
  stopTimer();
}

HttpReader FrontConnection::freshReader() const {
  const FrontLimits& limits = server_.limits();
  return {HttpMessageType::requests, {limits.headBytes, limits.bodyBytes}};
}

void FrontConnection::stopTimer() {
  server_.loop().cancel(std::exchange(timer_, 0));
}

void FrontConnection::setTimer(Millis delay, int status) {
  stopTimer();
  timer_ = server_.loop().after(delay, [this, status] {
    timer_ = 0;
    timeOut(status);
  });
}

void FrontConnection::timeOut(int status) {
  if (phase_ == Phase::closing) {
    remove();
  } else if (status == kNoAnswer) {
    startClosing();
  } else {
    refuse(status);
  }
}

void FrontConnection::remove() {
  stopTimer();
  server_.remove(id_);
}

void FrontConnection::onChannelBytes(std::string_view bytes) {
  if (phase_ == Phase::closing) return;
  in_.append(bytes);
  if (phase_ != Phase::answering) {
    readRequests();
  } else if (in_.size() > kReadAhead) {
    dropCaller();
  }
}

void FrontConnection::onChannelEnded(ChannelEnd) {
  tellCallerLeft();
  remove();
}

/// Answers may come within the handler: the loop here takes the next request, not a recursion.
void FrontConnection::readRequests() {
  if (reading_) return;
  reading_ = true;
  while (!in_.empty() && (phase_ == Phase::idle || phase_ == Phase::reading)) {
    if (phase_ == Phase::idle) {
      phase_ = Phase::reading;
      setTimer(server_.limits().headTimeout, kRequestTimeout);
    }
    const HttpProgress progress = reader_.read(in_);
    noteProgress(progress);
    if (progress == HttpProgress::needsMore) break;
  }
  reading_ = false;
}

void FrontConnection::noteProgress(HttpProgress progress) {
  switch (progress) {
    case HttpProgress::needsMore:
      if (!reader_.hasHead()) return;
      setTimer(server_.limits().headTimeout, kRequestTimeout);
      if (!continueSent_ && reader_.head().fields.hasToken("Expect", "100-continue")) {
        continueSent_ = true;
        channel_.send(kContinue);
      }
      return;
    case HttpProgress::complete:
      dispatch();
      return;
    case HttpProgress::headTooLarge:
      refuse(kHeadTooLarge);
      return;
    case HttpProgress::bodyTooLarge:
      refuse(kTooLarge);
      return;
    case HttpProgress::malformed:
      refuse(kBadRequest);
      return;
  }
}

void FrontConnection::dispatch() {
  stopTimer();
  phase_ = Phase::answering;
  HttpHead head = reader_.head();
  reusable_ = head.keepAlive;
  headRequest_ = head.method == "HEAD";
  chunked_ = head.version >= 11;
  exchange_ =
      std::make_shared<FrontExchange>(*this, std::move(head), reader_.takeBody(), clockNow());
  const std::shared_ptr<FrontExchange> exchange = exchange_;
  server_.handler().handle(exchange);
}

void FrontConnection::refuse(int status) {
  reusable_ = false;
  server_.noteRefused(status);
  HttpFields fields;
  channel_.send(answerBytes(status, fields, "", AfterAnswer::close));
  startClosing();
}

AfterAnswer FrontConnection::afterAnswer() const {
  return reusable_ && !server_.draining() ? AfterAnswer::keep : AfterAnswer::close;
}

void FrontConnection::respond(int status, const HttpFields& fields, std::string_view body) {
  const AfterAnswer after = afterAnswer();
  reusable_ = after == AfterAnswer::keep;
  channel_.send(answerBytes(status, fields, body, after, !headRequest_));
  answerEnded();
}

void FrontConnection::startStream(int status, const HttpFields& fields) {
  // A caller of HTTP/1.0 knows no chunks: the end of the connection ends its answer.
  const AfterAnswer after = chunked_ ? afterAnswer() : AfterAnswer::close;
  reusable_ = after == AfterAnswer::keep;
  if (chunked_) {
    channel_.send(chunkedHeadBytes(status, fields, after));
    return;
  }
  std::string head = answerBytes(status, fields, "", after, false);
  const std::string_view length = "Content-Length: 0\r\n";
  head.erase(head.find(length), length.size());
  channel_.send(head);
}

void FrontConnection::sendStreamData(std::string_view bytes) {
  if (bytes.empty()) return;
  channel_.send(chunked_ ? chunkBytes(bytes) : std::string(bytes));
  if (channel_.unsent() <= kMostUnsent) return;
  dropCaller();
}

/// Ends the connection with a caller that breaks the bounds; whoever answers hears that it left.
void FrontConnection::dropCaller() {
  phase_ = Phase::closing;
  channel_.abort();
  setTimer(Millis(0), kNoAnswer);
  tellCallerLeft();
}

void FrontConnection::tellCallerLeft() {
  const auto exchange = std::exchange(exchange_, nullptr);
  if (exchange == nullptr) return;
  exchange->connection_ = nullptr;
  if (exchange->onCallerDisconnected) exchange->onCallerDisconnected();
}

void FrontConnection::endStream() {
  if (chunked_) channel_.send(kLastChunk);
  answerEnded();
}

void FrontConnection::abortResponse() {
  exchange_ = nullptr;
  reusable_ = false;
  // Without its last chunk an answer is seen to be incomplete, and what was sent still arrives.
  if (chunked_ && phase_ == Phase::answering) {
    startClosing();
    return;
  }
  phase_ = Phase::closing;
  channel_.abort();
  setTimer(Millis(0), kNoAnswer);
}

void FrontConnection::answerEnded() {
  exchange_ = nullptr;
  if (!reusable_) {
    startClosing();
    return;
  }
  phase_ = Phase::idle;
  continueSent_ = false;
  reader_ = freshReader();
  setTimer(server_.limits().idleTimeout, kNoAnswer);
  readRequests();
}

void FrontConnection::startClosing() {
  phase_ = Phase::closing;
  in_.clear();
  channel_.finishSending();
  setTimer(kLinger, kNoAnswer);
}

void FrontConnection::closeIfIdle() {
  if (phase_ == Phase::idle) startClosing();
}

}  // namespace Hallchute
