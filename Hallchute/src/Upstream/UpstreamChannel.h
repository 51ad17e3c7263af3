// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_UPSTREAM_UPSTREAMCHANNEL_H
#define HALLCHUTE_UPSTREAM_UPSTREAMCHANNEL_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Http/HttpReader.h"
#include "Hallchute/src/Http/TcpChannel.h"

namespace Hallchute {

/// \brief Why an exchange failed before the response was complete. \ingroup Upstream
enum class ExchangeFailure {
  /// No byte of the request was sent.
  notSent,
  /// The upstream's host acknowledged no data in time; this side reset the connection.
  unacknowledged,
  /// The upstream's response can't be used.
  malformed,
  /// The connection ended, as when the upstream's process does.
  connectionEnded,
  /// The daemon that passed the request on was lost.
  peerLost,
};

/// \brief Receives the response of an upstream. \ingroup Upstream
class UpstreamListener {
 public:
  UpstreamListener() = default;
  UpstreamListener(const UpstreamListener&) = delete;
  UpstreamListener& operator=(const UpstreamListener&) = delete;
  virtual ~UpstreamListener() = default;

  /// \returns false if the response belongs to another request: it is read and discarded.
  virtual bool upstreamHead(const HttpHead& head) = 0;
  virtual void upstreamBody(std::string_view bytes) = 0;
  /// \brief The response is complete and the channel is free.
  virtual void upstreamDone() = 0;
  /// \brief The exchange failed before the response was complete. Unless nothing was sent, the
  /// request may have arrived.
  virtual void upstreamFailed(ExchangeFailure failure) = 0;
};

/// \brief A persistent connection to an upstream with one exchange at a time. Traffic thread only.
/// \ingroup Upstream
///
/// If the upstream's host doesn't acknowledge a request in time, the exchange fails and the
/// connection is reset: during a network partition the request may be queued, and must not arrive
/// once the partition ends.
class UpstreamChannel final : public TcpChannelOwner {
 public:
  UpstreamChannel(EventLoop& loop, const std::string& address, const std::string& source,
                  Millis connectLimit);
  ~UpstreamChannel() override;
  UpstreamChannel(const UpstreamChannel&) = delete;
  UpstreamChannel& operator=(const UpstreamChannel&) = delete;

  /// \brief Sends a request; \p listener receives the response.
  void start(std::string_view request, bool answerHasNoBody, UpstreamListener& listener);
  /// \brief Resets the connection; the listener isn't called again.
  void abort();
  /// \brief Whether this connection can carry another request.
  bool reusable() const;
  /// \brief Whether the kernel has received neither data nor a close from the peer.
  bool isOpenAndIdle() const { return channel_.isOpenAndIdle(); }
  /// \brief Whether the upstream's host has acknowledged the whole request.
  bool delivered() const { return channel_.acknowledged(); }
  /// \brief Whether the upstream's host refused the connection, as nothing listens at its port.
  bool refused() const { return channel_.refused(); }
  /// \brief Called when the peer closes the connection, or sends data, between exchanges.
  std::function<void()> onIdleClosed;
  /// \brief Called once the connection is established, or can't be.
  std::function<void(bool connected)> onConnectResult;
  /// \brief Called if the upstream's host acknowledges none of a request's bytes for some time.
  std::function<void()> onAcknowledgementDelayed;
  /// \brief The timeout in the upstream's `Keep-Alive` field; zero if it sent none.
  Millis keepAliveTimeout() const { return keepAliveTimeout_; }

  void onChannelBytes(std::string_view bytes) override;
  void onChannelConnected() override;
  void onChannelEnded(ChannelEnd end) override;

 private:
  static HttpReader newReader();
  void readAnswer();
  bool handleHead();
  void forwardBody();
  void finish();
  void fail(ExchangeFailure failure);
  void watchAcknowledgement(std::size_t unacknowledgedBefore);
  void awaitAcknowledgement(std::size_t unacknowledgedBefore, Millis timeout);
  void cancelAcknowledgementTimer();

  EventLoop& loop_;
  TcpChannel channel_;
  std::uint64_t acknowledgementTimer_ = 0;
  HttpReader reader_;
  std::string input_;
  UpstreamListener* listener_ = nullptr;
  std::uint64_t sentBytesAtStart_ = 0;
  bool answerHasNoBody_ = false;
  bool headReceived_ = false;
  bool discarding_ = false;
  bool usable_ = true;
  Millis keepAliveTimeout_{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_UPSTREAM_UPSTREAMCHANNEL_H
