// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_CALLERS_H
#define HALLCHUTE_TEST_SOAK_CALLERS_H

#include <atomic>
#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Soak {

class GatewayFleet;

/// \brief One attempt of a caller and its answer.
struct Attempt {
  std::chrono::steady_clock::time_point at;
  /// The daemon that it went to, by its position in the fleet.
  std::size_t daemon = 0;
  std::string body;
  /// 0 if the connection failed or no complete answer came.
  int status = 0;
};

/// \brief Threads that send requests to random daemons at a steady rate; each uses a new
/// connection for a request.
class Callers {
 public:
  /// Returns the body of the next request; called with a running number from one thread.
  using BodySource = std::string (*)(std::uint64_t number);
  /// A request whose body starts so goes to the route on which a request runs at most once.
  static constexpr const char* kOnceBody = "once";
  /// A request whose body starts so has a prompt with a part named as the body up to its dash,
  /// after one that all such prompts share.
  static constexpr const char* kPromptBody = "prompt";

  Callers(GatewayFleet& fleet, unsigned seed) : fleet_(fleet), seed_(seed) {}
  ~Callers() { stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// \brief Adds \p threads threads that send a request each \p period.
  void add(int threads, std::chrono::milliseconds period, BodySource bodies);
  void stop();
  std::vector<Attempt> attempts() const;

 private:
  void send(unsigned seed, std::chrono::milliseconds period, BodySource bodies);

  GatewayFleet& fleet_;
  unsigned seed_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> nextNumber_{0};
  mutable std::mutex mutex_;
  std::vector<Attempt> attempts_;
  std::vector<std::thread> threads_;
};

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_CALLERS_H
