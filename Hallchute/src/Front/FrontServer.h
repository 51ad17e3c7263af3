// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FRONT_FRONTSERVER_H
#define HALLCHUTE_FRONT_FRONTSERVER_H

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Hallchute/src/Front/FrontLimits.h"
#include "Hallchute/src/Net/Listener.h"

namespace Hallchute {

class EventLoop;
class FrontConnection;
class FrontHandler;
class Metrics;
class RequestMemory;

/// \brief Accepts callers' connections at one address. Traffic thread only, except for
/// construction. \ingroup Front
class FrontServer {
 public:
  /// \brief Listens at once, or as soon as the address is free.
  /// \param listen `ip:port`. \param memory bounds what is held of requests, those of other
  /// servers included. \throws Poco::Exception if the address can never be bound.
  FrontServer(EventLoop& loop, const std::string& listen, FrontHandler& handler, Metrics& metrics,
              RequestMemory& memory);
  ~FrontServer();
  FrontServer(const FrontServer&) = delete;
  FrontServer& operator=(const FrontServer&) = delete;

  /// \brief Sets the limits for requests that begin after the call.
  void setLimits(const FrontLimits& limits) { limits_ = limits; }
  /// \brief Bounds what may arrive on a new connection before it is read, in bytes.
  void setReceiveBuffer(std::size_t bytes);
  /// \brief That bound; 0 if there is none.
  std::size_t receiveBuffer() const { return receiveBuffer_; }
  /// \brief Closes each connection after its next response.
  void drain() { draining_ = true; }
  /// \brief Closes the connections without a request in progress.
  void closeIdle();
  /// \brief Answers the requests in progress with \p status: the process ends. Their handlers'
  /// responses are ignored from then on.
  void failUnanswered(int status);
  std::size_t connections() const { return connections_.size(); }
  /// \brief The number of connections with a request in progress.
  std::size_t busy() const;
  /// \brief Whether callers can connect: the address may be in use elsewhere.
  bool listening() const { return listener_.listening(); }
  Poco::Net::SocketAddress address() const { return listener_.address(); }

  // Called by FrontConnection.
  EventLoop& loop() { return loop_; }
  FrontHandler& handler() { return handler_; }
  const FrontLimits& limits() const { return limits_; }
  RequestMemory& memory() { return memory_; }
  bool draining() const { return draining_; }
  void remove(std::uint64_t connection);
  void countRejected(int status);
  void countIdleClosed();
  /// \param what `readAhead`, `incomplete` or `complete`.
  void countGivenUp(std::string_view what);
  /// \brief To be called after a response was buffered for a caller that doesn't read it. If all
  /// callers' buffers are too large together, the largest is dropped with its connection, in the
  /// loop's next iteration.
  void noteUnsent();

 private:
  /// Closes a connection in favour of a new one. \returns whether there was one to close.
  bool freePlace();
  void shedUnsent();
  void accept(const Poco::Net::StreamSocket& socket);

  EventLoop& loop_;
  FrontHandler& handler_;
  Metrics& metrics_;
  RequestMemory& memory_;
  FrontLimits limits_;
  std::unordered_map<std::uint64_t, std::unique_ptr<FrontConnection>> connections_;
  std::uint64_t nextConnection_ = 1;
  bool draining_ = false;
  bool sheds_ = false;
  std::size_t receiveBuffer_ = 0;
  Listener listener_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FRONT_FRONTSERVER_H
