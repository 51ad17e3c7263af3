// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_UPSTREAM_UPSTREAMPOOL_H
#define HALLCHUTE_UPSTREAM_UPSTREAMPOOL_H

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

class EventLoop;
class Metrics;
class UpstreamChannel;

/// \brief How sure a connection must be to be still open. \ingroup Upstream
enum class ConnectionReuse {
  /// The request may go out again if the connection turns out to be closed.
  any,
  /// It must not: a kept connection close to the end of its idle time is passed over.
  safe,
};

/// \brief Kept connections to upstreams. Traffic thread only.
/// \ingroup Upstream
///
/// A connection belongs to one upstream's lifetime: a new one at the same address shares none.
class UpstreamPool {
 public:
  UpstreamPool(EventLoop& loop, std::string source, Metrics& metrics);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// \brief A free connection, or a new one; null if \p most are open and none is free.
  std::unique_ptr<UpstreamChannel> take(const UpstreamId& upstream, const std::string& address,
                                        ConnectionReuse care, std::size_t most, Instant now);
  /// \brief Takes a connection back after an exchange; one that can't be used again is closed.
  void release(const UpstreamId& upstream, std::unique_ptr<UpstreamChannel> channel, Instant now);
  /// \brief Ends the exchange on a connection at once.
  void discard(const UpstreamId& upstream, std::unique_ptr<UpstreamChannel> channel);
  /// \brief Closes the idle connections of an upstream that is gone.
  void closeIdle(const UpstreamId& upstream);
  /// \brief Closes connections that rested for too long.
  void sweep(Instant now);

 private:
  struct Idle {
    std::unique_ptr<UpstreamChannel> channel;
    Instant since;
  };
  struct Entry {
    std::vector<Idle> idle;
    std::size_t open = 0;
  };

  void destroy(std::unique_ptr<UpstreamChannel> channel);
  void dropIdle(const UpstreamId& upstream, const UpstreamChannel* channel);
  void eraseIfEmpty(const UpstreamId& upstream);

  EventLoop& loop_;
  std::string source_;
  Metrics& metrics_;
  std::map<UpstreamId, Entry> entries_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_UPSTREAM_UPSTREAMPOOL_H
