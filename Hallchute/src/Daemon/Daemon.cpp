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

constexpr Millis kKeepPeriod{250};
/// Orphaned requests are looked for this often even when no daemon is seen to go.
constexpr Millis kAdoptPeriod{10'000};
/// After a daemon was seen to go, they are looked for at every turn for this long.
constexpr Millis kAdoptAfterChange{6'000};
/// What a reclaim's time must leave for handing over and for the last words.
constexpr Millis kReclaimMargin{5'000};
/// Daemons of a domain that look for orphans.
constexpr std::size_t kAdopters = 1;

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
      keeper_(context_),
      records_(context_),
      starter_(context_, records_),
      peers_(control_, context_, starter_, records_),
      services_{context_, starter_, records_, peers_, keeper_},
      callers_(services_, startup_.callerListen, startup_.maxCallerConnections),
      editor_(platform_, settings_,
              [this](const SettingsChange& change) { control_.applyChange(change); }),
      follower_(platform_, editor_, control_, health_, metrics_),
      operatorServices_(operatorServices()),
      operators_(operatorServices_, startup_.operatorListen) {
  control_.onMembersChanged([this] { membersChanged_ = true; });
  control_.onOwnNotice([this](Millis left) { stopWithin(left - kReclaimMargin); });
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
    if (stopLimit_) hurry_ = true;
    stopLimit_ = std::max(Millis(0), std::min(limit, drainLimit()));
  }
  wake_.notify_all();
}

void Daemon::run() {
  control_.start();
  follower_.start();
  keeperThread_ = std::thread([this] { keepRecords(); });
  operators_.start();
  callers_.start();
  logLine(LogLevel::info, "daemon " + startup_.daemon.str() + " serves");
  Millis limit{0};
  {
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [this] { return stopLimit_.has_value(); });
    limit = *stopLimit_;
  }
  Drain(services_, control_, callers_).run(limit, hurry_);
  for (const JobPtr& job : jobs_.running()) job->requestCancel();
  starter_.waitIdle(limit + kReclaimMargin);
  keeping_ = false;
  keeperThread_.join();
  follower_.stop();
  control_.stop();
  logLine(LogLevel::info, "daemon " + startup_.daemon.str() + " has stopped");
}

/// Writes what waits to be written, and takes on what other daemons left.
void Daemon::keepRecords() {
  Instant adoptUntil{};
  Instant nextAdopt{};
  while (keeping_) {
    const Instant now = clockNow();
    jobs_.sweep(now);
    keeper_.flush();
    records_.checkpoint();
    if (membersChanged_.exchange(false)) adoptUntil = now + kAdoptAfterChange;
    if (!services_.draining && (now < adoptUntil || now >= nextAdopt)) {
      nextAdopt = now + kAdoptPeriod;
      if (control_.isResponsibleFor("adopt", kAdopters)) adoptOrphans();
    }
    std::this_thread::sleep_for(kKeepPeriod);
  }
}

void Daemon::adoptOrphans() {
  for (const HandOverRecord& record : records_.claimOrphans(clockNow())) {
    logLine(LogLevel::info, "takes on " + record.request.str());
    metrics_.add("hallchute_adopted_total", "");
    starter_.start(makeJob(record, settings_.get()->tree, startup_.domain));
  }
}

}  // namespace Hallchute
