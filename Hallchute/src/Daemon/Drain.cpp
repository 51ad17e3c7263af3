// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/Drain.h"

#include <algorithm>
#include <thread>

#include "Hallchute/src/Daemon/CallerServer.h"
#include "Hallchute/src/Daemon/CallerServices.h"
#include "Hallchute/src/Daemon/Control.h"
#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Daemon/JobRecords.h"
#include "Hallchute/src/Daemon/JobStarter.h"
#include "Hallchute/src/Daemon/JobTable.h"
#include "Hallchute/src/Daemon/OnceRecordStore.h"
#include "Hallchute/src/Daemon/PeerJobs.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/Log.h"

namespace Hallchute {
namespace {

/// Time for the balancer to see that the daemon is not ready.
constexpr Millis kBalancerGrace{1'000};
constexpr Millis kPoll{20};
constexpr Millis kPauseLimit{4'000};
/// Time for callers to read the last bytes, and for what is unsaved to be written.
constexpr Millis kLastWords{3'000};

}  // namespace

Drain::Drain(CallerServices& services, Control& control, CallerServer& server)
    : services_(services), control_(control), server_(server) {}

void Drain::run(Millis limit, const std::atomic<bool>& hurry) {
  logLine(LogLevel::info, "draining for at most " + std::to_string(limit.count()) + " ms");
  const Instant until = clockNow() + limit;
  services_.draining = true;
  control_.beginLeaving();
  const Instant closeAt = clockNow() + std::min(kBalancerGrace, limit / 2);
  while (clockNow() < closeAt && !hurry) std::this_thread::sleep_for(kPoll);
  services_.closed = true;
  if (!waitForAnswers(until, hurry)) handOverAll();
  waitForCallers(hurry);
}

bool Drain::waitForAnswers(Instant until, const std::atomic<bool>& hurry) {
  while (!services_.context.jobs.running().empty()) {
    if (clockNow() >= until || hurry) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

void Drain::handOverAll() {
  const auto jobs = services_.context.jobs.running();
  for (const auto& job : jobs) job->requestPause();
  const Instant until = clockNow() + kPauseLimit;
  for (const auto& job : jobs) {
    const auto left = std::chrono::duration_cast<Millis>(until - clockNow());
    if (!job->waitUntilPaused(std::max(left, Millis(0)))) continue;
    const DaemonId peer = services_.peers.handOver(job->record(services_.context.daemon, 1));
    if (peer.empty()) {
      // Nobody takes it: it goes on here for as long as this process may live.
      services_.starter.resume(job);
      continue;
    }
    services_.records.recordHandOver(*job, peer);
    job->markHandedOver(peer);
    logLine(LogLevel::info, job->spec().request.str() + " was handed to " + peer.str());
  }
}

void Drain::waitForCallers(const std::atomic<bool>& hurry) {
  while (!hurry && (services_.plainCalls > 0 || !services_.context.jobs.running().empty())) {
    std::this_thread::sleep_for(kPoll);
  }
  server_.stopAccepting();
  const Instant until = clockNow() + kLastWords;
  for (;;) {
    services_.records.checkpoint();
    const bool saved = services_.onceRecords.flush() == 0 && services_.records.unsavedCount() == 0;
    if ((saved && server_.connections() == 0) || clockNow() >= until) return;
    std::this_thread::sleep_for(kPoll);
  }
}

}  // namespace Hallchute
