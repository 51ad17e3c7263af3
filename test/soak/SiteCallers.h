// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_SITECALLERS_H
#define HALLCHUTE_TEST_SOAK_SITECALLERS_H

#include <Poco/Net/HTTPClientSession.h>

#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "test/soak/CallerResult.h"
#include "test/soak/SiteFleet.h"

namespace Soak {

/// \brief Callers of all zones behind a load balancer, which asks daemons for their readiness and
/// gives each new connection to one of the caller's zone. Callers keep connections or open new
/// ones, and retry once at another daemon.
class SiteCallers {
 public:
  SiteCallers(SiteFleet& fleet, double requestsPerSecond, unsigned seed);
  ~SiteCallers();
  SiteCallers(const SiteCallers&) = delete;
  SiteCallers& operator=(const SiteCallers&) = delete;

  /// \brief Ends the traffic and waits for the last answers.
  void stop();
  std::vector<CallerResult> results() const;

 private:
  using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;
  struct IdleSession {
    Session session;
    std::chrono::steady_clock::time_point since;
  };
  struct Caller {
    std::size_t zone = 0;
    std::mutex mutex;
    std::map<std::size_t, IdleSession> idle;
  };
  /// One request over all its attempts.
  struct Call {
    Caller& caller;
    std::size_t hash = 0;
    bool keeps = false;
    CallerResult result;
    int events = 0;
    std::string retryAfter;
    /// Whether another attempt can't run it a second time.
    bool surelyNotRun = false;
  };

  void send(double perSecond);
  void poll(std::size_t daemon);
  std::size_t choose(std::size_t zone, std::size_t hash, std::size_t avoided) const;
  void run(Call call);
  void attempt(Call& call);
  Session takeSession(Call& call, bool fresh);
  void exchange(Call& call, Poco::Net::HTTPClientSession& session);

  SiteFleet& fleet_;
  std::mt19937 random_;
  std::array<Caller, 51> callers_;
  std::vector<std::atomic<bool>> in_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> running_{0};
  mutable std::mutex mutex_;
  std::vector<CallerResult> results_;
  std::vector<std::thread> threads_;
};

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_SITECALLERS_H
