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

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/RequestHolder.h"

namespace Hallchute {

class RequestMemory;

/// \brief The HTTP/2 protocol of a connection between daemons, without socket I/O.
/// \ingroup Net
///
/// Each message is preceded by its length as a four-byte big-endian integer. Streams with a message
/// above kMaxMessageBytes or with a wrong secret are reset. Messages that aren't complete count
/// towards a RequestMemory, which may reset their streams. Loop thread only.
class PeerSession {
 public:
  static constexpr std::size_t kMaxMessageBytes = 8U << 20U;

  /// \brief Callbacks for the events on the session's streams.
  struct Events {
    /// The peer opened a stream (server side only).
    std::function<void(std::int32_t stream, const std::string& path)> onOpened;
    std::function<void(std::int32_t stream, std::string message)> onMessage;
    std::function<void(std::int32_t stream)> onClosed;
    /// A stream was reset for want of memory: there is output to send.
    std::function<void(std::size_t bytes)> onGivenUp = nullptr;
  };

  enum class Role { client, server };

  /// \param memory bounds incomplete messages; it may be null.
  PeerSession(Role role, std::string secret, Events events, RequestMemory* memory = nullptr);
  ~PeerSession();
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;

  /// \returns false if the connection must be closed.
  bool receive(std::string_view bytes);
  /// \brief Takes the bytes that are ready to be sent; call until it returns none.
  std::string takeOutput();
  /// \returns the stream identifier, or a negative nghttp2 error code.
  std::int32_t open(std::string_view path);
  void send(std::int32_t stream, std::string_view message);
  /// \brief Half-closes the stream after the messages already queued.
  void finish(std::int32_t stream);
  /// \brief Resets the stream in both directions.
  void reset(std::int32_t stream);

 private:
  struct Stream final : RequestHolder {
    Stream(PeerSession& owner, std::int32_t number) : session(owner), id(number) {}
    ~Stream() override;
    void giveUp() override { session.giveUp(*this); }

    PeerSession& session;
    std::int32_t id;
    std::string path;
    std::string secret;
    std::string in;
    std::string out;
    std::size_t sent = 0;
    bool finishing = false;
    /// It was reset: what still arrives is discarded.
    bool discarded = false;
    /// When the first byte of the incomplete message arrived.
    Instant messageBegan{};
  };
  struct Callbacks;
  friend struct Callbacks;

  Stream& stream(std::int32_t id);
  void takeMessages(std::int32_t id, Stream& stream);
  void noteIncomplete(std::int32_t id);
  void giveUp(Stream& stream);
  nghttp2_data_provider provider();

  Role role_;
  std::string secret_;
  Events events_;
  RequestMemory* memory_;
  nghttp2_session* session_ = nullptr;
  std::map<std::int32_t, Stream> streams_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_PEERSESSION_H
