// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SCENARIO_CALLER_H
#define HALLCHUTE_TEST_SCENARIO_CALLER_H

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Hallchute/src/Core/Time.h"

namespace Scenario {

/// \brief What one caller sends.
struct CallPlan {
  /// `chat` or `order`.
  std::string kind = "chat";
  /// Caller addresses of daemons: the first is called, the others are for reconnecting.
  std::vector<std::string> daemons;
  std::string token;
  std::string service;
  std::string workClass;
  std::string prompt;
  std::size_t tokens = 20;
  bool stream = true;
  bool async = false;
  /// Reconnects to another daemon when redirected or when its connection breaks.
  bool follow = false;
  /// An order that was refused as not run is sent again after its Retry-After.
  bool retry = false;
  std::string key;
  std::string body;
};

/// \brief What one caller received.
struct CallResult {
  int status = 0;
  std::string outcome;
  std::string text;
  std::string request;
  std::string problem;
  bool done = false;
  /// The daemon reported that another daemon continues the answer.
  bool moved = false;
  int resumptions = 0;
  double firstTokenMs = 0;
  double retryAfterMs = -1;
  double tookMs = 0;
};

/// \brief A caller on a thread of its own.
class Caller {
 public:
  explicit Caller(CallPlan plan);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  const CallPlan& plan() const { return plan_; }
  bool finished() const { return finished_; }
  /// \brief Tokens received so far.
  std::size_t received() const { return received_; }
  /// \brief The result; only after finished().
  const CallResult& result() const { return result_; }
  /// \brief Whether the answer is the complete answer to its own prompt, byte for byte.
  bool whole() const;

 private:
  void run();
  void chat();
  void order();
  void orderOnce();
  bool resume(std::size_t attempt);
  void readStream(std::istream& in);
  void readLine(const std::string& line);

  CallPlan plan_;
  CallResult result_;
  Hallchute::Instant start_;
  std::string event_;
  std::string lastId_;
  std::atomic<std::size_t> received_{0};
  std::atomic<bool> finished_{false};
  std::thread thread_;
};

}  // namespace Scenario

#endif  // HALLCHUTE_TEST_SCENARIO_CALLER_H
