// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/Daemon.h"

#include "Hallchute/src/Daemon/Drain.h"
#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Daemon/JobFactory.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/Log.h"

namespace Hallchute {
namespace {

constexpr Millis kMaintenanceInterval{250};
/// Interval of the search for orphaned requests while the set of members does not change.
constexpr Millis kAdoptInterval{10'000};
/// After a change of the members, every maintenance cycle searches for orphans for this long.
constexpr Millis kAdoptAfterChange{6'000};
/// Time reserved before a reclaim for the handover of jobs and the final flush.
constexpr Millis kReclaimMargin{5'000};
/// Reciprocals of the parts of the process's memory that bodies of callers' requests may take, and
/// messages of peers that aren't complete.
constexpr std::size_t kBodiesMemoryFraction = 4;
constexpr std::size_t kPeersMemoryFraction = 12;
/// Daemons of a failure domain that search for orphans.
constexpr std::size_t kAdoptersPerDomain = 1;

}  // namespace

Daemon::Daemon(StartupFile startup)
    : startup_(std::move(startup)),
      platformHttp_(startup_.platformAddress, startup_.platformToken, startup_.ownIp(),
                    startup_.platformTimeout),
      platform_(platformHttp_),
      control_(startup_, settings_, jobs_, metrics_),
      context_{startup_.daemon,
               startup_.domain,
               startup_.ownIp(),
               settings_,
               metrics_,
               jobs_,
               platform_,
               health_,
               budgets_,
               [this](const GrantSpec& spec) { return control_.acquire(spec); },
               [this](const LeaveAnnouncement& announcement) { control_.noteLeave(announcement); },
               [this](const DaemonId& id) { return control_.mayBeAlive(id); }},
      onceRecords_(context_),
      records_(context_),
      starter_(context_, records_),
      peers_(control_, context_, starter_, records_),
      bodies_(startup_.memory / kBodiesMemoryFraction, metrics_),
      services_{context_, starter_, records_, peers_, onceRecords_, bodies_},
      callerServer_(services_, startup_.callerListen, startup_.maxCallerConnections),
      editor_(platform_, settings_,
              [this](const SettingsChange& change) { control_.applyChange(change); }),
      follower_(platform_, editor_, control_, health_, metrics_),
      operatorServices_(operatorServices()),
      operatorServer_(operatorServices_, startup_.operatorListen) {
  control_.transport().setMessageMemory(startup_.memory / kPeersMemoryFraction);
  control_.onMembersChanged([this] { membersChanged_ = true; });
  control_.onOwnLeave([this](Millis timeLeft) { stopWithin(timeLeft - kReclaimMargin); });
}

Daemon::~Daemon() = default;

OperatorServices Daemon::operatorServices() {
  return {startup_,
          control_,
          settings_,
          editor_,
          jobs_,
          metrics_,
          health_,
          [this] { return services_.draining.load(); },
          [this] { stop(); }};
}

Millis Daemon::drainLimit() const {
  const PolicyScope scope{startup_.domain, ServiceName(), OrganisationName()};
  return Millis(settings_.get()->tree.policy(PolicyKey::drainLimitMs, scope));
}

void Daemon::stop() {
  stopWithin(drainLimit());
}

void Daemon::stopWithin(Millis limit) {
  {
    const std::lock_guard lock(mutex_);
    if (stopLimit_) stopNow_ = true;
    stopLimit_ = std::max(Millis(0), std::min(limit, drainLimit()));
  }
  stopRequested_.notify_all();
}

void Daemon::run() {
  control_.start();
  follower_.start();
  maintenanceThread_ = std::thread([this] { runMaintenance(); });
  operatorServer_.start();
  callerServer_.start();
  logMessage(LogLevel::info, "daemon " + startup_.daemon.str() + " serves requests");
  Millis limit{0};
  {
    std::unique_lock lock(mutex_);
    stopRequested_.wait(lock, [this] { return stopLimit_.has_value(); });
    limit = *stopLimit_;
  }
  Drain(services_, control_, callerServer_).run(limit, stopNow_);
  for (const JobPtr& job : jobs_.running()) job->requestCancel();
  starter_.waitIdle(limit + kReclaimMargin);
  maintenanceRunning_ = false;
  maintenanceThread_.join();
  follower_.stop();
  control_.stop();
  logMessage(LogLevel::info, "daemon " + startup_.daemon.str() + " has stopped");
}

/// Periodically writes pending records and adopts requests orphaned by other daemons.
void Daemon::runMaintenance() {
  Instant adoptUntil{};
  Instant nextAdopt{};
  while (maintenanceRunning_) {
    const Instant now = clockNow();
    jobs_.sweep(now);
    onceRecords_.flush();
    records_.checkpoint();
    if (membersChanged_.exchange(false)) adoptUntil = now + kAdoptAfterChange;
    if (!services_.draining && (now < adoptUntil || now >= nextAdopt)) {
      nextAdopt = now + kAdoptInterval;
      if (control_.isResponsibleFor("adopt", kAdoptersPerDomain)) adoptOrphans();
    }
    std::this_thread::sleep_for(kMaintenanceInterval);
  }
}

void Daemon::adoptOrphans() {
  for (const HandOverRecord& record : records_.claimOrphans(clockNow())) {
    logMessage(LogLevel::info, "orphaned request resumes on this daemon: " + record.request.str());
    metrics_.add("hallchute_adopted_total", "");
    starter_.start(makeJob(record, settings_.get()->tree, startup_.domain));
  }
}

}  // namespace Hallchute
