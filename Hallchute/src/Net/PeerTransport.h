// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_PEERTRANSPORT_H
#define HALLCHUTE_NET_PEERTRANSPORT_H

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Gateway/RequestMemory.h"
#include "Hallchute/src/Net/Listener.h"
#include "Hallchute/src/Net/PeerStream.h"

namespace Hallchute {

class EventLoop;
class Metrics;
class PeerConnection;

/// \brief Streams to and from other daemons, over one connection per peer and direction.
/// \ingroup Net
///
/// Loop thread only. Outgoing connections are bound to the IP of the listening address. Bytes sent
/// and received are counted towards the control-traffic budget. Messages that aren't complete are
/// bounded together, and so are the connections on which nobody has shown the secret; log lines
/// `peer.messageGivenUp`, `peer.strangerClosed`.
class PeerTransport {
 public:
  using StreamHandler = std::function<void(const PeerStreamPtr& stream)>;

  /// \brief Accepts peers at once, or as soon as the address is free.
  /// \param listen address to accept peers at; \param secret shared by all daemons of the fleet.
  /// \param metrics may be null.
  /// \throws Poco::Exception if the address can never be bound.
  PeerTransport(EventLoop& loop, const std::string& listen, std::string secret,
                Metrics* metrics = nullptr);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// \brief Bounds the incomplete messages of all peers together, in bytes; one of the largest size
  /// always passes.
  void setMessageMemory(std::size_t bytes);
  /// \brief Registers the handler of the streams that peers open at \p path.
  void serve(std::string_view path, StreamHandler handler);
  /// \brief Opens a stream and sends its first message. If that fails, onClosed follows from the
  /// loop.
  PeerStreamPtr open(const std::string& address, std::string_view path, std::string_view message);
  /// \brief Closes the outgoing connection to a peer, for instance one declared dead.
  void disconnect(const std::string& address);
  std::uint64_t bytesSent() const { return bytesSent_; }
  std::uint64_t bytesReceived() const { return bytesReceived_; }

 private:
  friend class PeerConnection;
  friend class PeerStream;

  PeerConnection* connectionTo(const std::string& address);
  PeerConnection* find(std::uint64_t connection);
  void accept(const Poco::Net::StreamSocket& socket);
  void closeOldStrangers();
  void noteGivenUp(std::size_t bytes);
  void remove(std::uint64_t connection);
  const StreamHandler* findHandler(const std::string& path) const;

  EventLoop& loop_;
  std::string secret_;
  Poco::Net::SocketAddress source_;
  Metrics* metrics_;
  RequestMemory messages_;
  std::map<std::string, StreamHandler, std::less<>> handlers_;
  std::map<std::uint64_t, std::unique_ptr<PeerConnection>> connections_;
  std::map<std::string, std::uint64_t> outgoing_;
  /// Accepted connections that may not have shown the secret, in the order of their acceptance.
  std::vector<std::uint64_t> strangers_;
  std::uint64_t nextConnection_ = 1;
  std::uint64_t bytesSent_ = 0;
  std::uint64_t bytesReceived_ = 0;
  Listener listener_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_PEERTRANSPORT_H
