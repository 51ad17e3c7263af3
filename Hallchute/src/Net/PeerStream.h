// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_PEERSTREAM_H
#define HALLCHUTE_NET_PEERSTREAM_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Hallchute {

class PeerTransport;

/// \brief A bidirectional message stream between two daemons. Loop thread only.
/// \ingroup Net
///
/// `onClosed` is called exactly once, however the stream ends, unless close() was called on this
/// side first. No callback follows it.
class PeerStream : public std::enable_shared_from_this<PeerStream> {
 public:
  std::function<void(std::string_view message)> onMessage;
  std::function<void()> onClosed;

  void send(std::string_view message);
  /// \brief Half-closes the stream: this side sends no more messages.
  void finish();
  /// \brief Resets the stream; no callback follows.
  void close();
  bool isOpen() const { return open_; }

 private:
  friend class PeerTransport;
  friend class PeerConnection;

  PeerTransport* transport_ = nullptr;
  std::uint64_t connection_ = 0;
  std::int32_t id_ = 0;
  bool open_ = true;
};

using PeerStreamPtr = std::shared_ptr<PeerStream>;

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_PEERSTREAM_H
