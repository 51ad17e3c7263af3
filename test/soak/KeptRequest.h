// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_KEPTREQUEST_H
#define HALLCHUTE_TEST_SOAK_KEPTREQUEST_H

#include <chrono>
#include <cstddef>
#include <string>

namespace Soak {

/// \brief A whole request that was sent on a connection which may have served others before.
struct KeptRequest {
  enum class Sort { stream, repeatable, once };
  std::string id;
  Sort sort = Sort::stream;
  std::string body;
  /// Attempts of the same request before this one.
  int earlier = 0;
  /// By its position in the fleet.
  std::size_t daemon = 0;
  std::chrono::steady_clock::time_point at;
  std::chrono::steady_clock::time_point end;
  /// The shortest time limit that could be in force.
  std::chrono::milliseconds limit{0};
  /// Whether the connection had served another request.
  bool kept = false;
  /// Whether it was sent well within the idle time.
  bool inTime = true;
  /// 0 without a head.
  int status = 0;
  /// Whether the body, and a stream with it, is whole.
  bool whole = false;
  /// Whether the connection ended.
  bool closed = false;
  int events = 0;
  /// Whether an event was missing, came twice or was not whole in a stream that went on.
  bool disordered = false;
  /// Whether the body is an upstream's answer.
  bool passedOn = false;
  /// Whether it is the answer to another request.
  bool foreign = false;

  /// Whether the status promises that the attempt has not run and never will.
  bool refused() const { return status == 408 || status == 421 || status == 429 || status == 503; }
};

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_KEPTREQUEST_H
