// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FRONT_FRONTCONNECTION_H
#define HALLCHUTE_FRONT_FRONTCONNECTION_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Hallchute/src/Gateway/HeldPlace.h"
#include "Hallchute/src/Gateway/HeldRequest.h"
#include "Hallchute/src/Gateway/RequestHolder.h"
#include "Hallchute/src/Http/HttpReader.h"
#include "Hallchute/src/Http/HttpWriter.h"
#include "Hallchute/src/Http/TcpChannel.h"

namespace Hallchute {

class FrontExchange;
class FrontServer;

/// \brief A caller's connection: reads complete requests, one at a time, and writes responses.
/// \ingroup Front
///
/// After a malformed or partially read request the connection sends one error response and closes:
/// the bytes that follow must never be parsed as another request (request smuggling).
class FrontConnection final : public TcpChannelOwner, public RequestHolder {
 public:
  FrontConnection(FrontServer& server, std::uint64_t id, const Poco::Net::StreamSocket& socket);
  ~FrontConnection() override;

  /// \brief Closes the connection if no request is in progress, none waits to be read, and all of
  /// the last response is sent.
  void closeIfIdle();
  /// \brief Whether a request or response would be cut if the connection ended now.
  bool busy() const;
  /// \brief What it does with its place among the connections.
  HeldPlace place() const;
  /// \brief Whether bytes of a caller wait to be looked at; peeks at the socket.
  bool holdsInput() const;
  /// \brief Closes the connection, which must have no request in progress.
  void remove();
  /// \brief Bytes of responses that the kernel has not accepted yet.
  std::size_t unsent() const { return channel_.unsent(); }
  /// \brief Answers the request in progress with \p status and closes the connection, unless its
  /// response has begun: an end without a byte looks as if the request hadn't been read.
  void failUnanswered(int status);
  /// \brief Drops what follows the request in progress, or refuses the one that is being received.
  void giveUp() override;
  /// \brief Resets the connection and notifies the handler if a request is in progress.
  void dropConnection();

  // Called by FrontExchange.
  void respond(int status, const HttpFields& fields, std::string_view body);
  void startStream(int status, const HttpFields& fields);
  void sendStreamData(std::string_view bytes);
  void endStream();
  void abortResponse();
  void noteBodyCopied(std::size_t bytes);

  void onChannelBytes(std::string_view bytes) override;
  void onChannelEnded(ChannelEnd end) override;
  void onChannelDrained() override;

 private:
  enum class Phase { idle, reading, responding, closing };

  HttpReader makeReader() const;
  void readRequests();
  void handleProgress(HttpProgress progress);
  void dispatch();
  void refuseForMemory(std::string_view what);
  void beginExchange(HttpHead head, std::string body);
  void dropReadAhead();
  void noteHeld();
  HeldRequest heldRequest() const;
  void reject(int status);
  void finishResponse();
  void startIdle();
  void startClosing();
  void releaseInput();
  void notifyCallerDisconnected();
  void setTimer(Millis delay, int status);
  void stopTimer();
  void timeOut(int status);
  ConnectionPersistence connectionPersistence() const;

  FrontServer& server_;
  std::uint64_t id_;
  TcpChannel channel_;
  Phase phase_ = Phase::idle;
  /// The request that is being read; nothing between requests.
  std::optional<HttpReader> reader_;
  std::string receiveBuffer_;
  std::shared_ptr<FrontExchange> exchange_;
  /// Memory of the exchange, in bytes.
  std::size_t exchangeBytes_ = 0;
  Instant requestBegan_;
  std::uint64_t timer_ = 0;
  /// Since when it is idle, or closing.
  Instant restsSince_;
  bool reusable_ = true;
  bool isHeadRequest_ = false;
  bool chunked_ = true;
  bool continueSent_ = false;
  bool parsing_ = false;
  /// What follows the request in progress is discarded; the connection closes after its response.
  bool discardsInput_ = false;
  bool responseBegun_ = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FRONT_FRONTCONNECTION_H
