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

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

class EventLoop;

/// \brief How a TCP connection ended.
/// \ingroup Http
enum class ChannelEnd {
  /// It was never up: no byte left this host.
  notConnected,
  /// The other side said that it sends no more.
  peerClosed,
  /// Reset, or silent for too long.
  broken,
};

/// \brief Told what happens on a TcpChannel.
/// \ingroup Http
class TcpChannelOwner {
 public:
  TcpChannelOwner() = default;
  TcpChannelOwner(const TcpChannelOwner&) = delete;
  TcpChannelOwner& operator=(const TcpChannelOwner&) = delete;
  virtual ~TcpChannelOwner() = default;

  virtual void onChannelBytes(std::string_view bytes) = 0;
  /// \brief Called once; nothing follows it.
  virtual void onChannelEnded(ChannelEnd end) = 0;
  /// \brief All bytes given to send() are with the kernel.
  virtual void channelDrained() {}
};

/// \brief A TCP connection on a loop that never blocks.
/// \ingroup Http
///
/// Loop thread only. An owner may destroy its channel within a callback. The sockets are POCO's;
/// bytes move by recv and send, as a reset is an everyday event here and POCO throws on it.
class TcpChannel {
 public:
  /// \brief An accepted connection.
  TcpChannel(EventLoop& loop, const Poco::Net::StreamSocket& socket, TcpChannelOwner& owner);
  /// \brief Connects from the IP \p source, within \p limit. The kernel doesn't end the connection
  /// by itself: a silent other side is its owner's to notice.
  TcpChannel(EventLoop& loop, const std::string& address, const std::string& source, Millis limit,
             TcpChannelOwner& owner);
  ~TcpChannel();
  TcpChannel(const TcpChannel&) = delete;
  TcpChannel& operator=(const TcpChannel&) = delete;

  /// \brief Sends what the kernel takes now and keeps the rest.
  void send(std::string_view bytes);
  /// \brief Says that no more bytes come from this side once all are sent.
  void finishSending();
  std::size_t unsent() const { return out_.size(); }
  /// \brief Bytes that the kernel has taken since the connection began.
  std::uint64_t sentBytes() const { return sentBytes_; }
  /// \brief Whether the other side's kernel has acknowledged all bytes given to send(); true where
  /// the kernel doesn't tell.
  bool acknowledged() const;
  /// \brief Bytes given to send() that the other side's kernel has not acknowledged; those that
  /// this one has not taken yet are all that is known where the kernel doesn't tell.
  std::size_t unacknowledged() const;
  /// \brief Whether the other side has neither closed nor sent anything, by a look at the socket.
  bool isOpenAndIdle() const;
  /// \brief Ends the connection at once with a reset; no callback follows. Bytes that a cut holds
  /// up are dropped: after a plain close the kernel would deliver them when the cut has healed.
  void abort();

 private:
  void onEvents(short events);
  void readSome();
  void writeSome();
  void finishConnect();
  void fail(ChannelEnd end);
  void updateWatch();
  void shutWhenSent();

  EventLoop& loop_;
  TcpChannelOwner& owner_;
  Poco::Net::StreamSocket socket_;
  int fd_ = -1;
  std::string out_;
  std::uint64_t sentBytes_ = 0;
  std::uint64_t connectTimer_ = 0;
  bool connecting_ = false;
  bool ended_ = false;
  bool finishing_ = false;
  /// Lets callbacks see that their owner destroyed this channel.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace Hallchute

#endif  // HALLCHUTE_HTTP_TCPCHANNEL_H
