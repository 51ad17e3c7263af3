// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_LISTENER_H
#define HALLCHUTE_NET_LISTENER_H

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Net/EventLoop.h"

namespace Hallchute {

class Metrics;

/// \brief Accepts connections at one address on an event loop. Loop thread only, except for
/// construction. \ingroup Net
///
/// An address that is in use, or not this host's yet, is tried again every 100 ms for as long as
/// the listener exists; log lines `listener.unavailable`, `listener.open`. When the process or the
/// host has no descriptor or memory for a connection, nothing is accepted for 100 ms; log line
/// `listener.exhausted`, counter `hallchute_listener_exhausted_total`.
class Listener {
 public:
  using AcceptHandler = std::function<void(const Poco::Net::StreamSocket& socket)>;

  /// \brief Listens at once if the address is free.
  /// \param address `ip:port`; \param backlog length of the accept queue.
  /// \param onAccept takes each accepted connection. \param metrics may be null.
  /// \throws Poco::Exception if the address is invalid, or the process may not listen there.
  Listener(EventLoop& loop, const std::string& address, int backlog, AcceptHandler onAccept,
           Metrics* metrics);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// \brief Bounds what may arrive on each connection that is accepted from now on before it is
  /// read, in bytes; some hosts count it as memory of the process. Without a call, the system's
  /// default.
  void setReceiveBuffer(std::size_t bytes);
  bool listening() const { return socket_.has_value(); }
  /// \brief The local address; until listening() the requested one.
  Poco::Net::SocketAddress address() const { return socket_ ? socket_->address() : address_; }

 private:
  void open();
  void applyReceiveBuffer();
  void retryLater();
  void retry();
  void logUnavailable(const std::string& detail);
  void accept();
  void pause(int error);
  void resume();

  EventLoop& loop_;
  Poco::Net::SocketAddress address_;
  int backlog_;
  /// 0: the system's default.
  std::size_t receiveBuffer_ = 0;
  AcceptHandler onAccept_;
  Metrics* metrics_;
  std::optional<Poco::Net::ServerSocket> socket_;
  /// Of the next try to listen or, once listening(), of the end of a pause.
  EventLoop::TimerId timer_ = 0;
  Instant began_;
  std::optional<Instant> unavailableLogged_;
  std::optional<Instant> exhaustedLogged_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_LISTENER_H
