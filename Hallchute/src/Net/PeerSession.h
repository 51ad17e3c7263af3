// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_PEERSESSION_H
#define HALLCHUTE_NET_PEERSESSION_H

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Hallchute {

/// \brief One HTTP/2 connection between daemons, without its socket: bytes in, bytes out.
/// \ingroup Net
///
/// Messages are framed by a four-byte big-endian length. A message above kMaxMessage, and a stream
/// whose secret is wrong, is reset. Loop thread only.
class PeerSession {
 public:
  static constexpr std::size_t kMaxMessageBytes = 8U << 20U;

  /// \brief What happens on the session's streams.
  struct Events {
    /// A peer opened a stream (server side).
    std::function<void(std::int32_t stream, const std::string& path)> onOpened;
    std::function<void(std::int32_t stream, std::string message)> onMessage;
    std::function<void(std::int32_t stream)> onClosed;
  };

  enum class Role { client, server };

  PeerSession(Role role, std::string secret, Events events);
  ~PeerSession();
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;

  /// \returns false if the connection must be closed.
  bool receive(std::string_view bytes);
  /// \brief Bytes to send now; call until it is empty.
  std::string takeOutput();
  /// \returns the stream, negative if it can't be opened.
  std::int32_t open(std::string_view path);
  void send(std::int32_t stream, std::string_view message);
  /// \brief No more messages from this side.
  void finish(std::int32_t stream);
  /// \brief Closes the stream for both sides.
  void reset(std::int32_t stream);

 private:
  struct Stream {
    std::string path;
    std::string secret;
    std::string in;
    std::string out;
    std::size_t sent = 0;
    bool finishing = false;
  };
  struct Callbacks;
  friend struct Callbacks;

  void takeMessages(std::int32_t id, Stream& stream);
  nghttp2_data_provider provider();

  Role role_;
  std::string secret_;
  Events events_;
  nghttp2_session* session_ = nullptr;
  std::map<std::int32_t, Stream> streams_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_PEERSESSION_H
