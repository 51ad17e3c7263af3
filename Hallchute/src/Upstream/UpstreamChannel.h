// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_UPSTREAM_UPSTREAMCHANNEL_H
#define HALLCHUTE_UPSTREAM_UPSTREAMCHANNEL_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/SharedBytes.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Http/HttpReader.h"
#include "Hallchute/src/Http/TcpChannel.h"

namespace Hallchute {

class AnswerMemory;

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
  /// The upstream sent more bytes than an answer may have; this side reset the connection.
  unbounded,
};

/// \brief What a listener keeps of an answer until more of it arrives. \ingroup Upstream
struct HeldBytes {
  std::size_t bytes = 0;
  /// They are an incomplete event of a stream, rather than a body that is held until it is whole.
  bool ofEvent = false;
};

/// \brief Which bytes of an answer were too many. \ingroup Upstream
struct AnswerExcess {
  /// `head`, `framing`, `body`, `event`, `foreignAnswer`, `memory`; empty if there were none.
  std::string_view reason;
  /// Bytes of the exchange that had been received by then.
  std::uint64_t receivedBytes = 0;
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
  /// \brief The next bytes of the body. \returns what the listener holds of the answer: the
  /// exchange fails if that is too much.
  virtual HeldBytes upstreamBody(std::string_view bytes) = 0;
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
///
/// Every part of an answer is bounded in bytes, also what precedes its head and what belongs to no
/// request; an exchange fails as `unbounded` at the bound.
class UpstreamChannel final : public TcpChannelOwner {
 public:
  /// \param memory shared by all connections of a daemon.
  UpstreamChannel(EventLoop& loop, const std::string& address, const std::string& source,
                  Millis connectLimit, std::shared_ptr<AnswerMemory> memory);
  ~UpstreamChannel() override;
  UpstreamChannel(const UpstreamChannel&) = delete;
  UpstreamChannel& operator=(const UpstreamChannel&) = delete;

  /// \brief Sends a request; \p listener receives the response.
  /// \param rest what follows \p request, not copied; it may be null.
  void start(std::string_view request, bool answerHasNoBody, UpstreamListener& listener,
             const SharedBytes& rest = nullptr);
  /// \brief Resets the connection; the listener isn't called again.
  void abort();
  /// \brief Whether this connection can carry another request.
  bool reusable() const;
  /// \brief Whether the kernel has received neither data nor a close from the peer.
  bool isOpenAndIdle() const { return channel_.isOpenAndIdle(); }
  /// \brief Whether the upstream's host has acknowledged the whole request.
  /// It is taken to be if the upstream sent too much in return.
  bool delivered() const { return !excess_.reason.empty() || channel_.acknowledged(); }
  /// \brief Whether the upstream's host refused the connection, as nothing listens at its port.
  bool refused() const { return channel_.refused(); }
  /// \brief Which bytes were too many, after the exchange has failed as `unbounded`.
  const AnswerExcess& excess() const { return excess_; }
  /// \brief Whether the upstream sent bytes after a complete answer, which belong to no request.
  bool hasUnexpectedBytes() const { return unexpected_; }
  /// \brief Fails the exchange, as all together hold too much of answers. For AnswerMemory.
  void failForMemory() { failAsUnbounded("memory"); }
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
  void noteHeld();
  void finish();
  void fail(ExchangeFailure failure);
  void failAsUnbounded(std::string_view reason);
  void failAt(HttpProgress progress);
  std::uint64_t consumedBytes() const { return receivedBytes_ - input_.size(); }
  bool receivedTooMuchBeforeAnswer() const;
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
  std::shared_ptr<AnswerMemory> memory_;
  /// Bytes of the exchange so far, those before the answer among them.
  std::uint64_t receivedBytes_ = 0;
  std::size_t heldByListener_ = 0;
  /// An answer to another request was discarded.
  bool discarded_ = false;
  bool unexpected_ = false;
  AnswerExcess excess_;
  Millis keepAliveTimeout_{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_UPSTREAM_UPSTREAMCHANNEL_H
