// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_HTTP_TCPCHANNEL_H
#define HALLCHUTE_HTTP_TCPCHANNEL_H

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/SharedBytes.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Http/SendQueue.h"

namespace Hallchute {

class EventLoop;

/// \brief How a TCP connection ended.
/// \ingroup Http
enum class ChannelEnd {
  /// The connection was never established: no byte was sent.
  notConnected,
  /// The peer closed its sending side (FIN).
  peerClosed,
  /// The connection was reset or timed out.
  broken,
};

/// \brief Receives the events of a TcpChannel.
/// \ingroup Http
class TcpChannelOwner {
 public:
  TcpChannelOwner() = default;
  TcpChannelOwner(const TcpChannelOwner&) = delete;
  TcpChannelOwner& operator=(const TcpChannelOwner&) = delete;
  virtual ~TcpChannelOwner() = default;

  virtual void onChannelBytes(std::string_view bytes) = 0;
  /// \brief An outgoing connection was established.
  virtual void onChannelConnected() {}
  /// \brief Called once, as the last callback.
  virtual void onChannelEnded(ChannelEnd end) = 0;
  /// \brief The kernel has accepted all bytes passed to send().
  virtual void onChannelDrained() {}
};

/// \brief A non-blocking TCP connection on an event loop.
/// \ingroup Http
///
/// Loop thread only. An owner may destroy its channel within a callback. The sockets are POCO's,
/// but data is transferred by recv() and send(): connection resets are common and POCO throws on
/// them.
class TcpChannel {
 public:
  /// \brief An accepted connection.
  TcpChannel(EventLoop& loop, const Poco::Net::StreamSocket& socket, TcpChannelOwner& owner);
  /// \brief Connects from the IP address \p source within \p connectTimeout. The kernel doesn't
  /// time the connection out: its owner must detect an unresponsive peer.
  TcpChannel(EventLoop& loop, const std::string& address, const std::string& source,
             Millis connectTimeout, TcpChannelOwner& owner);
  ~TcpChannel();
  TcpChannel(const TcpChannel&) = delete;
  TcpChannel& operator=(const TcpChannel&) = delete;

  /// \brief Sends what the kernel accepts now and buffers the rest.
  void send(std::string_view bytes);
  /// \brief Sends \p first and then \p rest, which isn't copied; it may be null.
  void send(std::string_view first, SharedBytes rest);
  /// \brief Shuts down the sending side once all bytes are sent.
  void shutdownSend();
  /// \brief Stops or resumes reading: what arrives meanwhile waits in the kernel. The peer's end is
  /// reported at once all the same, and bytes before it are then lost.
  void setReading(bool reading);
  /// \brief Bytes passed to send() that the kernel has not accepted yet.
  std::size_t unsent() const { return sendQueue_.size(); }
  /// \brief Bytes that the kernel has accepted since the connection was opened.
  std::uint64_t sentBytes() const { return sentBytes_; }
  /// \brief Whether the peer's host refused the connection, which is otherwise not established.
  bool refused() const { return refused_; }
  /// \brief Whether the peer's kernel has acknowledged all bytes passed to send(). Where the kernel
  /// doesn't report this, whether this host's kernel has accepted them all.
  bool acknowledged() const;
  /// \brief Bytes passed to send() that the peer's kernel has not acknowledged. Where the kernel
  /// doesn't report this, only the bytes that this host's kernel has not accepted yet.
  std::size_t unacknowledged() const;
  /// \brief Whether the connection is open and has no unread input; peeks at the socket.
  bool isOpenAndIdle() const;
  /// \brief Resets the connection at once; no callback follows. Unsent bytes are discarded: after a
  /// plain close the kernel would still deliver them when a network partition heals.
  void abort();

 private:
  void onEvents(short events);
  void receiveAvailable();
  void sendPending();
  void finishConnect();
  void reportEnd(ChannelEnd end);
  void updateWatch();
  void shutdownIfDrained();

  EventLoop& loop_;
  TcpChannelOwner& owner_;
  Poco::Net::StreamSocket socket_;
  int fd_ = -1;
  SendQueue sendQueue_;
  std::uint64_t sentBytes_ = 0;
  std::uint64_t connectTimer_ = 0;
  bool connecting_ = false;
  bool reading_ = true;
  bool refused_ = false;
  bool ended_ = false;
  bool shutdownRequested_ = false;
  /// Shared with callbacks, to detect that the owner destroyed this channel.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace Hallchute

#endif  // HALLCHUTE_HTTP_TCPCHANNEL_H
