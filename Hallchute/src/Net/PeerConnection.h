// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_PEERCONNECTION_H
#define HALLCHUTE_NET_PEERCONNECTION_H

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <map>
#include <string>

#include "Hallchute/src/Net/PeerSession.h"
#include "Hallchute/src/Net/PeerStream.h"

namespace Hallchute {

class PeerTransport;

/// \brief A TCP connection to a peer and the HTTP/2 session on it.
/// \ingroup Net
class PeerConnection {
 public:
  PeerConnection(PeerTransport& transport, std::uint64_t id, PeerSession::Role role,
                 const Poco::Net::StreamSocket& socket);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  PeerStreamPtr open(std::string_view path, std::string_view message);
  void send(std::int32_t stream, std::string_view message);
  void finish(std::int32_t stream);
  void close(std::int32_t stream);
  /// \brief Whether the peer has opened a stream with the right secret.
  bool authenticated() const { return authenticated_; }

 private:
  void onReady(short events);
  bool readAll();
  bool flush();
  void flushOrFail();
  void scheduleFlush();
  void updateWatch();
  void fail();
  PeerSession::Events events();

  PeerTransport& transport_;
  std::uint64_t id_;
  Poco::Net::StreamSocket socket_;
  std::map<std::int32_t, PeerStreamPtr> streams_;
  PeerSession session_;
  std::string output_;
  bool flushScheduled_ = false;
  bool authenticated_ = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_PEERCONNECTION_H
