// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_REQUESTMEMORY_H
#define HALLCHUTE_GATEWAY_REQUESTMEMORY_H

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/HeldRequest.h"
#include "Hallchute/src/Gateway/RequestMemoryLimits.h"

namespace Hallchute {

class RequestHolder;

/// \brief Bounds what all connections hold of requests together, and decides which of them gives
/// way. \ingroup Gateway
///
/// What follows a request in progress gives way before a request that isn't complete, and the
/// slowest of those before the others. A request that is complete and fits is never given up; one
/// that doesn't fit isn't begun. Large requests use a part of the memory only, so that ordinary
/// ones are served beside them. Single thread. An update costs a hash look-up; if the limits are
/// exceeded, O(n log n) in the number of holders.
class RequestMemory {
 public:
  explicit RequestMemory(const RequestMemoryLimits& limits) : limits_(limits) {}
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  void setLimits(const RequestMemoryLimits& limits) { limits_ = limits; }
  const RequestMemoryLimits& limits() const { return limits_; }
  /// \brief Sets what a holder has; zero bytes remove it. Nothing is given up yet.
  void update(RequestHolder& holder, const HeldRequest& held);
  void remove(RequestHolder& holder) { update(holder, {}); }
  /// \brief Whether more is held than the limits allow: relieve() must follow.
  bool exceeded() const { return total_ > limits_.bytes || large_ > limits_.largeBytes; }
  /// \brief Gives up what can be until the limits are met; may call the holder that was updated.
  void relieve(Instant now);
  /// \brief Adds a complete request and makes room for it. \returns false if even then it would
  /// exceed the limits; the holder is removed in that case.
  bool admit(RequestHolder& holder, const HeldRequest& held, Instant now);
  /// \brief Bytes that all holders have.
  std::size_t held() const { return total_; }
  /// \brief Whether so much less is held than before that the allocator should return memory to the
  /// system; true once for each such fall.
  bool takeFall();

 private:
  struct Sums {
    std::size_t all = 0;
    std::size_t large = 0;
  };

  static std::size_t largePart(const HeldRequest& held);
  void subtract(const HeldRequest& held);
  void add(const HeldRequest& held);
  /// The holders that can give something up, the first to do so first.
  std::vector<RequestHolder*> candidates(Instant now) const;
  void relieve(const std::vector<RequestHolder*>& candidates, bool largeOnly);

  RequestMemoryLimits limits_;
  std::unordered_map<RequestHolder*, HeldRequest> held_;
  std::size_t total_ = 0;
  std::size_t large_ = 0;
  /// Of complete requests.
  Sums complete_;
  std::size_t peak_ = 0;
  bool relieving_ = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_REQUESTMEMORY_H
