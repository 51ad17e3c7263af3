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

/// Time for the load balancer to notice that the daemon is not ready.
constexpr Millis kReadinessGrace{1'000};
constexpr Millis kPollInterval{20};
constexpr Millis kPauseTimeout{4'000};
/// Time for callers to read the end of their answers and for pending records to be written.
constexpr Millis kFinalFlushTimeout{3'000};

}  // namespace

Drain::Drain(CallerServices& services, Control& control, CallerServer& server)
    : services_(services), control_(control), server_(server) {}

void Drain::run(Millis limit, const std::atomic<bool>& stopNow) {
  logMessage(LogLevel::info, "draining for at most " + std::to_string(limit.count()) + " ms");
  const Instant until = clockNow() + limit;
  services_.draining = true;
  control_.announceOwnLeave();
  const Instant closeAt = clockNow() + std::min(kReadinessGrace, limit / 2);
  while (clockNow() < closeAt && !stopNow) std::this_thread::sleep_for(kPollInterval);
  services_.rejectsNewRequests = true;
  if (!waitForAnswers(until, stopNow)) handOverAll();
  finishAndClose(stopNow);
}

bool Drain::waitForAnswers(Instant until, const std::atomic<bool>& stopNow) {
  while (!services_.context.jobs.running().empty()) {
    if (clockNow() >= until || stopNow) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

void Drain::handOverAll() {
  const auto jobs = services_.context.jobs.running();
  for (const auto& job : jobs) job->requestPause();
  const Instant until = clockNow() + kPauseTimeout;
  for (const auto& job : jobs) {
    const auto timeLeft = std::chrono::duration_cast<Millis>(until - clockNow());
    if (!job->waitUntilPaused(std::max(timeLeft, Millis(0)))) continue;
    const DaemonId peer = services_.peers.handOver(job->record(services_.context.daemon, 1));
    if (peer.empty()) {
      // No peer accepted the job: it continues here until the process ends.
      services_.starter.resume(job);
      continue;
    }
    services_.records.recordHandOver(*job, peer);
    job->markHandedOver(peer);
    logMessage(LogLevel::info,
               job->spec().request.str() + " was handed over to daemon " + peer.str());
  }
}

void Drain::finishAndClose(const std::atomic<bool>& stopNow) {
  while (!stopNow && (services_.plainCalls > 0 || !services_.context.jobs.running().empty())) {
    std::this_thread::sleep_for(kPollInterval);
  }
  server_.stopAccepting();
  const Instant until = clockNow() + kFinalFlushTimeout;
  for (;;) {
    services_.records.checkpoint();
    const bool saved = services_.onceRecords.flush() == 0 && services_.records.unsavedCount() == 0;
    if ((saved && server_.connections() == 0) || clockNow() >= until) return;
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace Hallchute
