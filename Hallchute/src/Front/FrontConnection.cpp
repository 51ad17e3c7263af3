// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Front/FrontConnection.h"

#include <utility>

#include "Hallchute/src/Front/FrontExchange.h"
#include "Hallchute/src/Front/FrontHandler.h"
#include "Hallchute/src/Front/FrontServer.h"
#include "Hallchute/src/Gateway/RequestMemory.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"

namespace Hallchute {
namespace {

/// Bytes that a caller may pipeline while a response to it is in progress.
constexpr std::size_t kMaxReadAheadBytes = 64U << 10U;
/// How long a closing connection waits for the caller to close its side (lingering close): closing
/// a socket with unread bytes resets the connection, and the last response may be lost.
constexpr Millis kLingerTime{1'000};
/// Capacity that an empty receive buffer keeps, in bytes: most requests fit.
constexpr std::size_t kKeptCapacity = std::size_t{4} << 10U;
/// Response bytes buffered for a caller that doesn't read.
constexpr std::size_t kMaxUnsentBytes = 8U << 20U;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderFieldsTooLarge = 431;
/// A timer status: close without a response, as no request is in progress.
constexpr int kNoResponse = 0;

}  // namespace

FrontConnection::FrontConnection(FrontServer& server, std::uint64_t id,
                                 const Poco::Net::StreamSocket& socket)
    : server_(server), id_(id), channel_(server.loop(), socket, *this) {
  startIdle();
}

FrontConnection::~FrontConnection() {
  server_.memory().remove(*this);
  stopTimer();
}

HttpReader FrontConnection::makeReader() const {
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
  } else if (status != kNoResponse) {
    reject(status);
  } else if (const Instant due = restsSince_ + server_.limits().idleTimeout; clockNow() < due) {
    // Newer settings have a longer idle time, and callers rely on it.
    setTimer(std::chrono::ceil<Millis>(due - clockNow()), kNoResponse);
  } else {
    server_.countIdleClosed();
    startClosing();
  }
}

void FrontConnection::remove() {
  stopTimer();
  server_.remove(id_);
}

void FrontConnection::onChannelBytes(std::string_view bytes) {
  if (phase_ == Phase::closing || discardsInput_) return;
  receiveBuffer_.append(bytes);
  if (phase_ != Phase::responding) {
    readRequests();
  } else if (receiveBuffer_.size() > kMaxReadAheadBytes) {
    channel_.setReading(false);
  }
  noteHeld();
}

void FrontConnection::onChannelEnded(ChannelEnd) {
  notifyCallerDisconnected();
  remove();
}

/// A handler may respond synchronously: this loop then reads the next request, instead of a
/// recursive call.
void FrontConnection::readRequests() {
  if (parsing_) return;
  parsing_ = true;
  while (!receiveBuffer_.empty() && (phase_ == Phase::idle || phase_ == Phase::reading)) {
    if (phase_ == Phase::idle) {
      phase_ = Phase::reading;
      continueSent_ = false;
      reader_ = makeReader();
      requestBegan_ = clockNow();
      setTimer(server_.limits().headTimeout, kRequestTimeout);
    }
    const HttpProgress progress = reader_->read(receiveBuffer_);
    handleProgress(progress);
    if (progress == HttpProgress::needsMore) break;
  }
  parsing_ = false;
  if (receiveBuffer_.empty() && receiveBuffer_.capacity() > kKeptCapacity) receiveBuffer_ = {};
}

void FrontConnection::handleProgress(HttpProgress progress) {
  switch (progress) {
    case HttpProgress::needsMore:
      if (!reader_->hasHead()) return;
      setTimer(server_.limits().headTimeout, kRequestTimeout);
      if (!continueSent_ && reader_->head().fields.hasToken("Expect", "100-continue")) {
        continueSent_ = true;
        channel_.send(kContinue);
      }
      return;
    case HttpProgress::complete:
      dispatch();
      return;
    case HttpProgress::headTooLarge:
      reject(kHeaderFieldsTooLarge);
      return;
    case HttpProgress::bodyTooLarge:
      reject(kContentTooLarge);
      return;
    case HttpProgress::framingTooLarge:
    case HttpProgress::malformed:
      reject(kBadRequest);
      return;
  }
}

void FrontConnection::dispatch() {
  stopTimer();
  // From here on only what follows the request can be given up, also in favour of itself.
  phase_ = Phase::responding;
  HttpHead head = reader_->takeHead();
  std::string body = reader_->takeBody();
  reader_.reset();
  exchangeBytes_ = head.heldBytes() + body.size();
  const HeldRequest complete{exchangeBytes_, receiveBuffer_.size(), true, requestBegan_};
  if (!server_.memory().admit(*this, complete, clockNow())) {
    server_.countGivenUp("complete");
    exchangeBytes_ = 0;
    beginExchange(std::move(head), {});
    server_.handler().refuseForMemory(std::shared_ptr(exchange_));
    return;
  }
  beginExchange(std::move(head), std::move(body));
  server_.handler().handle(std::shared_ptr(exchange_));
}

void FrontConnection::beginExchange(HttpHead head, std::string body) {
  phase_ = Phase::responding;
  responseBegun_ = false;
  reusable_ = head.keepAlive && !discardsInput_;
  isHeadRequest_ = head.method == "HEAD";
  chunked_ = head.version >= 11;
  exchange_ = std::make_shared<FrontExchange>(*this, std::move(head), std::move(body), clockNow());
}

void FrontConnection::giveUp() {
  if (phase_ == Phase::responding) {
    dropReadAhead();
  } else if (phase_ == Phase::reading) {
    refuseForMemory("incomplete");
  }
}

void FrontConnection::dropReadAhead() {
  server_.countGivenUp("readAhead");
  receiveBuffer_ = {};
  reusable_ = false;
  discardsInput_ = true;
  channel_.setReading(true);
  noteHeld();
}

/// Refuses the request that is being received.
void FrontConnection::refuseForMemory(std::string_view what) {
  server_.countGivenUp(what);
  stopTimer();
  HttpHead head = reader_->hasHead() ? reader_->takeHead() : HttpHead();
  releaseInput();
  // The rest of the request must not be taken for another one.
  discardsInput_ = true;
  beginExchange(std::move(head), {});
  server_.handler().refuseForMemory(std::shared_ptr(exchange_));
}

void FrontConnection::noteBodyCopied(std::size_t bytes) {
  exchangeBytes_ += bytes;
  noteHeld();
}

HeldRequest FrontConnection::heldRequest() const {
  const std::size_t input = receiveBuffer_.size();
  switch (phase_) {
    case Phase::reading:
      return {input + (reader_ ? reader_->heldBytes() : 0), 0, false, requestBegan_};
    case Phase::responding: {
      // As much may wait in the kernel while nothing is read.
      const std::size_t unread = input > kMaxReadAheadBytes ? server_.receiveBuffer() : 0;
      return {exchangeBytes_, input + unread, true, requestBegan_};
    }
    case Phase::idle:
    case Phase::closing:
      break;
  }
  return {};
}

/// To be called once the connection may be closed: it may be the one that is given up.
void FrontConnection::noteHeld() {
  RequestMemory& memory = server_.memory();
  memory.update(*this, heldRequest());
  if (memory.exceeded()) memory.relieve(clockNow());
}

void FrontConnection::reject(int status) {
  reusable_ = false;
  server_.countRejected(status);
  HttpFields fields;
  channel_.send(responseBytes(status, fields, "", ConnectionPersistence::close));
  startClosing();
}

ConnectionPersistence FrontConnection::connectionPersistence() const {
  // A request that the caller has sent already is answered first.
  return reusable_ && (!server_.draining() || holdsInput()) ? ConnectionPersistence::keep
                                                            : ConnectionPersistence::close;
}

void FrontConnection::respond(int status, const HttpFields& fields, std::string_view body) {
  const ConnectionPersistence persistence = connectionPersistence();
  reusable_ = persistence == ConnectionPersistence::keep;
  channel_.send(responseBytes(status, fields, body, persistence, !isHeadRequest_));
  if (channel_.unsent() > 0) server_.noteUnsent();
  finishResponse();
}

void FrontConnection::startStream(int status, const HttpFields& fields) {
  responseBegun_ = true;
  // HTTP/1.0 has no chunked encoding: closing the connection ends the body.
  const ConnectionPersistence persistence =
      chunked_ ? connectionPersistence() : ConnectionPersistence::close;
  reusable_ = persistence == ConnectionPersistence::keep;
  if (chunked_) {
    channel_.send(chunkedHeadBytes(status, fields, persistence));
    return;
  }
  std::string head = responseBytes(status, fields, "", persistence, false);
  const std::string_view length = "Content-Length: 0\r\n";
  head.erase(head.find(length), length.size());
  channel_.send(head);
}

void FrontConnection::sendStreamData(std::string_view bytes) {
  if (bytes.empty()) return;
  channel_.send(chunked_ ? chunkBytes(bytes) : std::string(bytes));
  if (channel_.unsent() > kMaxUnsentBytes) {
    dropConnection();
  } else if (channel_.unsent() > 0) {
    server_.noteUnsent();
  }
}

void FrontConnection::dropConnection() {
  phase_ = Phase::closing;
  channel_.abort();
  setTimer(Millis(0), kNoResponse);
  notifyCallerDisconnected();
}

void FrontConnection::notifyCallerDisconnected() {
  const auto exchange = std::exchange(exchange_, nullptr);
  if (exchange == nullptr) return;
  exchange->connection_ = nullptr;
  if (exchange->onCallerDisconnected) exchange->onCallerDisconnected();
}

void FrontConnection::endStream() {
  if (chunked_) channel_.send(kLastChunk);
  finishResponse();
}

void FrontConnection::abortResponse() {
  exchange_ = nullptr;
  reusable_ = false;
  // Without the last chunk the caller detects the truncation, and the bytes sent are still
  // delivered.
  if (chunked_ && phase_ == Phase::responding) {
    startClosing();
    return;
  }
  phase_ = Phase::closing;
  channel_.abort();
  setTimer(Millis(0), kNoResponse);
}

void FrontConnection::finishResponse() {
  exchange_ = nullptr;
  exchangeBytes_ = 0;
  if (!reusable_) {
    startClosing();
    return;
  }
  startIdle();
  noteHeld();
  channel_.setReading(true);
  readRequests();
  noteHeld();
}

void FrontConnection::failUnanswered(int status) {
  if (exchange_ == nullptr || responseBegun_) return;
  reusable_ = false;
  const std::shared_ptr<FrontExchange> exchange = exchange_;
  exchange->respond(status, {}, "");
}

void FrontConnection::startIdle() {
  phase_ = Phase::idle;
  restsSince_ = clockNow();
  setTimer(server_.limits().idleTimeout, kNoResponse);
}

void FrontConnection::startClosing() {
  phase_ = Phase::closing;
  restsSince_ = clockNow();
  releaseInput();
  channel_.setReading(true);
  channel_.shutdownSend();
  setTimer(channel_.unsent() > 0 ? server_.limits().idleTimeout : kLingerTime, kNoResponse);
}

/// What arrives from now on is discarded.
void FrontConnection::releaseInput() {
  receiveBuffer_ = {};
  reader_.reset();
  noteHeld();
}

void FrontConnection::onChannelDrained() {
  if (phase_ == Phase::closing) setTimer(kLingerTime, kNoResponse);
}

HeldPlace FrontConnection::place() const {
  switch (phase_) {
    case Phase::reading:
      return {PlaceUse::receiving, requestBegan_, heldRequest().bytes};
    case Phase::responding:
      return {PlaceUse::inProgress, requestBegan_};
    case Phase::idle:
    case Phase::closing:
      break;
  }
  if (channel_.unsent() > 0) return {PlaceUse::unread, restsSince_};
  return {phase_ == Phase::idle ? PlaceUse::idle : PlaceUse::answered, restsSince_};
}

bool FrontConnection::holdsInput() const {
  return !receiveBuffer_.empty() || !channel_.isOpenAndIdle();
}

bool FrontConnection::busy() const {
  if (exchange_ != nullptr || phase_ == Phase::reading || channel_.unsent() > 0) return true;
  return phase_ == Phase::idle && holdsInput();
}

void FrontConnection::closeIfIdle() {
  if (phase_ == Phase::idle && !busy()) startClosing();
}

}  // namespace Hallchute
