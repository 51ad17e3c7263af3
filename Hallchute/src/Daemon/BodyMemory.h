// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_BODYMEMORY_H
#define HALLCHUTE_DAEMON_BODYMEMORY_H

#include <cstddef>
#include <mutex>

#include "Hallchute/src/Gateway/HeldRequest.h"
#include "Hallchute/src/Gateway/RequestMemory.h"

namespace Hallchute {

class HeldBody;
class Metrics;

/// \brief Bounds the bodies that the threads of all connections hold together, by RequestMemory's
/// rules. Any thread.
/// \ingroup Daemon
class BodyMemory {
 public:
  /// \param share for all bodies, in bytes.
  BodyMemory(std::size_t share, Metrics& metrics);
  BodyMemory(const BodyMemory&) = delete;
  BodyMemory& operator=(const BodyMemory&) = delete;

 private:
  friend class HeldBody;

  /// Raises the limits if a body of this size would exceed them by itself.
  void allow(std::size_t largestBody);
  /// Sets what \p body holds while it is being read; others may be given up.
  void update(HeldBody& body, const HeldRequest& held);
  /// \returns whether the complete body may be used.
  bool admit(HeldBody& body, const HeldRequest& held);
  void remove(HeldBody& body);
  /// Called by a body that is given up, with the lock held.
  void drop(HeldBody& body);
  void noteGivenUp();

  std::mutex mutex_;
  std::size_t share_;
  std::size_t largest_ = 0;
  RequestMemory memory_;
  Metrics& metrics_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_BODYMEMORY_H
