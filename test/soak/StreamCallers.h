// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_STREAMCALLERS_H
#define HALLCHUTE_TEST_SOAK_STREAMCALLERS_H

#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Soak {

class GatewayFleet;

/// \brief One attempt of a caller to get a stream, or the rest of one.
struct StreamAttempt {
  std::chrono::steady_clock::time_point at;
  /// The daemon that it went to, by its position in the fleet.
  std::size_t daemon = 0;
  /// The version that began the stream in an earlier attempt; empty in a new one.
  std::string resumedVersion;
  /// Whether it brought an event.
  bool brought = false;
};

/// \brief A stream over all attempts of its caller.
struct CallerStream {
  std::vector<StreamAttempt> attempts;
  /// When its first event came.
  std::chrono::steady_clock::time_point beganAt{};
  /// The version that wrote each event, in order.
  std::vector<std::string> versions;
  /// An event was missing, came twice or was not whole.
  bool broken = false;
};

/// \brief Threads that get streams from random daemons and, if one breaks off, take it up again at
/// another daemon.
class StreamCallers {
 public:
  StreamCallers(GatewayFleet& fleet, unsigned seed) : fleet_(fleet), seed_(seed) {}
  ~StreamCallers() { stop(); }
  StreamCallers(const StreamCallers&) = delete;
  StreamCallers& operator=(const StreamCallers&) = delete;

  void add(int threads);
  void stop();
  std::vector<CallerStream> streams() const;

 private:
  void run(unsigned seed);
  CallerStream getStream(std::mt19937& random);
  /// \returns the id of the attempt.
  std::string attempt(CallerStream& stream, const std::string& began, std::size_t daemon);

  GatewayFleet& fleet_;
  unsigned seed_;
  std::atomic<bool> stopping_{false};
  std::atomic<unsigned> nextNumber_{0};
  mutable std::mutex mutex_;
  std::vector<CallerStream> streams_;
  std::vector<std::thread> threads_;
};

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_STREAMCALLERS_H
