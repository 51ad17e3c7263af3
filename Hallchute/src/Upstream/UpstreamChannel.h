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

/// \brief Told what comes back from an upstream. \ingroup Upstream
class UpstreamListener {
 public:
  UpstreamListener() = default;
  UpstreamListener(const UpstreamListener&) = delete;
  UpstreamListener& operator=(const UpstreamListener&) = delete;
  virtual ~UpstreamListener() = default;

  /// \returns false if the answer belongs to another request: it is read and thrown away.
  virtual bool upstreamHead(const HttpHead& head) = 0;
  virtual void upstreamBody(std::string_view bytes) = 0;
  /// \brief The whole answer came. The channel is free afterwards.
  virtual void upstreamDone() = 0;
  /// \brief No whole answer comes. \param sent whether the request may have arrived.
  virtual void upstreamFailed(bool sent) = 0;
};

/// \brief A kept connection to an upstream with one exchange at a time. Traffic thread only.
/// \ingroup Upstream
///
/// A request that the upstream's host doesn't acknowledge in time is given up and the connection
/// reset: a cut may hold it up, and it must not arrive when the cut has healed.
class UpstreamChannel final : public TcpChannelOwner {
 public:
  UpstreamChannel(EventLoop& loop, const std::string& address, const std::string& source,
                  Millis connectLimit);
  ~UpstreamChannel() override;
  UpstreamChannel(const UpstreamChannel&) = delete;
  UpstreamChannel& operator=(const UpstreamChannel&) = delete;

  /// \brief Sends a request; \p listener is told what comes of it.
  void start(std::string_view request, bool answerHasNoBody, UpstreamListener& listener);
  /// \brief Ends the exchange at once; the listener hears nothing more.
  void abort();
  /// \brief Whether a further request may go out on this connection.
  bool reusable() const;
  /// \brief Whether the kernel has heard nothing from the other side, not even its end.
  bool quiet() const { return channel_.quiet(); }
  /// \brief Whether all of the request is known to have arrived at the upstream's host.
  bool delivered() const { return channel_.acknowledged(); }
  /// \brief Called when the other side ends the connection, or sends something, between exchanges.
  std::function<void()> onIdleEnd;
  /// \brief How long the upstream says that it keeps an idle connection; zero if it doesn't say.
  Millis announcedIdle() const { return announcedIdle_; }

  void channelBytes(std::string_view bytes) override;
  void channelEnded(ChannelEnd end) override;

 private:
  static HttpReader freshReader();
  void readAnswer();
  bool takeHead();
  void passBody();
  void finish();
  void fail(bool sent);
  void awaitAcknowledgement(std::size_t unacknowledgedBefore);
  void stopAwaiting();

  EventLoop& loop_;
  TcpChannel channel_;
  std::uint64_t acknowledgementTimer_ = 0;
  HttpReader reader_;
  std::string in_;
  UpstreamListener* listener_ = nullptr;
  std::uint64_t sentBefore_ = 0;
  bool answerHasNoBody_ = false;
  bool headTaken_ = false;
  bool discarding_ = false;
  bool sound_ = true;
  Millis announcedIdle_{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_UPSTREAM_UPSTREAMCHANNEL_H
