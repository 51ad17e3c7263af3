// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_KEPTCALLERS_H
#define HALLCHUTE_TEST_SOAK_KEPTCALLERS_H

#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "test/soak/KeptRequest.h"

namespace Poco::Net {
class StreamSocket;
}  // namespace Poco::Net

namespace Soak {

class GatewayFleet;

/// \brief Threads that send requests to random daemons; most keep a connection for several
/// requests.
class KeptCallers {
 public:
  /// Of each stream.
  static constexpr int kEvents = 40;
  enum class Habit {
    /// Streams and plain requests; rests up to four fifths of the idle time between them.
    rests,
    /// Plain requests without a rest; one that may run once is sent again, up to twice and under
    /// another id, if the answer promises that it has not run.
    busy,
    /// As busy, with a new connection for each.
    busyOnNew,
  };

  /// \param settle how long settings may stay in force after others were written.
  KeptCallers(GatewayFleet& fleet, unsigned seed, std::chrono::milliseconds settle)
      : fleet_(fleet), seed_(seed), settle_(settle) {}
  ~KeptCallers() { stop(); }
  KeptCallers(const KeptCallers&) = delete;
  KeptCallers& operator=(const KeptCallers&) = delete;

  void add(int threads, Habit habit = Habit::rests);
  void stop();
  /// \brief To be called before settings with these are written.
  void announce(std::chrono::milliseconds idleTime, std::chrono::milliseconds timeLimit);
  std::vector<KeptRequest> requests() const;

 private:
  struct Limits {
    std::chrono::steady_clock::time_point at;
    std::chrono::milliseconds idleTime;
    std::chrono::milliseconds timeLimit;
  };

  void run(unsigned seed, Habit habit);
  /// \param last the request before, also of an earlier connection.
  void useConnection(std::size_t daemon, Habit habit, KeptRequest& last, std::mt19937& random);
  KeptRequest draw(std::size_t daemon, Habit habit, const KeptRequest& last, std::mt19937& random);
  /// \returns whether the connection can be kept.
  bool exchange(Poco::Net::StreamSocket& socket, KeptRequest& request) const;
  /// The shortest that could be in force at \p time or later.
  Limits leastSince(std::chrono::steady_clock::time_point time) const;

  GatewayFleet& fleet_;
  unsigned seed_;
  std::chrono::milliseconds settle_;
  std::atomic<bool> stopping_{false};
  std::atomic<unsigned> nextNumber_{0};
  mutable std::mutex mutex_;
  std::vector<Limits> limits_;
  std::vector<KeptRequest> requests_;
  std::vector<std::thread> threads_;
};

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_KEPTCALLERS_H
