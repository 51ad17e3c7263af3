// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_UPSTREAM_ANSWERMEMORY_H
#define HALLCHUTE_UPSTREAM_ANSWERMEMORY_H

#include <cstddef>
#include <memory>
#include <unordered_map>

#include "Hallchute/src/Upstream/AnswerBounds.h"

namespace Hallchute {

class EventLoop;
class UpstreamChannel;

/// \brief Bounds what all connections to upstreams hold of answers together. Traffic thread only.
/// \ingroup Upstream
///
/// If they hold too much, the exchange that holds the most fails: small answers go on beside an
/// endless one. What an exchange holds below kFreeBytes isn't counted.
class AnswerMemory final : public std::enable_shared_from_this<AnswerMemory> {
 public:
  /// Most answers and nearly all events are smaller. In bytes.
  static constexpr std::size_t kFreeBytes = std::size_t{16} << 10U;

  AnswerMemory(EventLoop& loop, AnswerBounds bounds) : loop_(loop), bounds_(bounds) {}
  AnswerMemory(const AnswerMemory&) = delete;
  AnswerMemory& operator=(const AnswerMemory&) = delete;

  const AnswerBounds& bounds() const { return bounds_; }
  /// \brief Sets what a connection holds, in bytes. The exchange that fails, does so in the loop's
  /// next iteration.
  void setHeld(UpstreamChannel& channel, std::size_t bytes);
  /// \brief Bytes that all connections hold.
  std::size_t held() const { return total_; }

 private:
  void shed();

  EventLoop& loop_;
  AnswerBounds bounds_;
  std::unordered_map<UpstreamChannel*, std::size_t> held_;
  std::size_t total_ = 0;
  bool sheds_ = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_UPSTREAM_ANSWERMEMORY_H
