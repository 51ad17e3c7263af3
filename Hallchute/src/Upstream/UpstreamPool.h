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

class AnswerMemory;
class ConnectionObserver;
class EventLoop;
class Metrics;
class UpstreamChannel;
struct AnswerBounds;

/// \brief Which idle connections a request may reuse. \ingroup Upstream
enum class ConnectionReuse {
  /// Any that is still kept: the request can be retried if the upstream has closed the connection.
  any,
  /// Only one that is not close to its idle timeout: the request must not be retried.
  safe,
};

/// \brief A pool of persistent connections to upstreams. Traffic thread only.
/// \ingroup Upstream
///
/// Connections are keyed by upstream, not by address: a new upstream at the same address shares
/// none.
class UpstreamPool {
 public:
  UpstreamPool(EventLoop& loop, std::string source, const AnswerBounds& bounds,
               ConnectionObserver& observer, Metrics& metrics);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// \brief Returns an idle connection or a new one; null if \p maxOpen are open and none is idle.
  std::unique_ptr<UpstreamChannel> take(const UpstreamId& upstream, const std::string& address,
                                        ConnectionReuse reuse, std::size_t maxOpen, Instant now);
  /// \brief Returns a connection to the pool after an exchange; closes it if it isn't reusable.
  void release(const UpstreamId& upstream, std::unique_ptr<UpstreamChannel> channel, Instant now);
  /// \brief Resets a connection and removes it from the pool.
  void discard(const UpstreamId& upstream, std::unique_ptr<UpstreamChannel> channel);
  /// \brief Closes the idle connections of an upstream that was removed.
  void closeIdle(const UpstreamId& upstream);
  /// \brief Opens a connection to learn whether that is possible; it is kept for later requests.
  void probe(const UpstreamId& upstream, const std::string& address);
  /// \brief Closes connections that have been idle for too long.
  void sweep(Instant now);

 private:
  struct Idle {
    std::unique_ptr<UpstreamChannel> channel;
    Instant idleSince;
  };
  struct Entry {
    std::vector<Idle> idle;
    std::size_t open = 0;
  };

  void finishProbe(const UpstreamId& upstream, bool connected);
  std::unique_ptr<UpstreamChannel> open(const UpstreamId& upstream, const std::string& address);
  void destroyDeferred(std::unique_ptr<UpstreamChannel> channel);
  void noteIfUnexpected(const UpstreamId& upstream, const UpstreamChannel& channel);
  void dropIdle(const UpstreamId& upstream, const UpstreamChannel* channel);
  void eraseIfEmpty(const UpstreamId& upstream);

  EventLoop& loop_;
  std::string source_;
  std::shared_ptr<AnswerMemory> memory_;
  ConnectionObserver& observer_;
  Metrics& metrics_;
  std::map<UpstreamId, Entry> entries_;
  /// Connections that are being opened by probe().
  std::map<UpstreamId, std::unique_ptr<UpstreamChannel>> probes_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_UPSTREAM_UPSTREAMPOOL_H
