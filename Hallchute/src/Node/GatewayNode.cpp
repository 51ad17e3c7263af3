// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/GatewayNode.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include "Hallchute/src/Fleet/ReportSums.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/LogLine.h"

namespace Hallchute {
namespace {

/// How often daemons tell each other: what a quota may be overdrawn by grows with it.
constexpr Millis kReportPeriod{200};
/// The balancer asks once a second and takes two misses: until then new callers still come.
constexpr Millis kUntilUnlisted{2'600};
constexpr Millis kStopPeriod{50};
/// What must be left of the grace for ending the process.
constexpr Millis kStopMargin{700};
/// Descriptors kept for other things than callers and upstreams.
constexpr std::size_t kReservedDescriptors = 300;
/// A watch is silent no longer than this, and never longer than contact may be lost unnoticed.
constexpr Millis kLongestWatch{3'000};
constexpr Millis kWatchMargin{500};
/// Between two lines on how much of the fleet is heard.
constexpr Millis kFleetLogPause{1'000};
/// Differences of clocks that a line of the log tells: smaller ones are a busy host's.
constexpr Millis kClockDifference{500};
/// Windows of usage that are kept: those whose report may still be due.
constexpr std::int64_t kWindowsKept = 8;

Millis watchWait(const NodeBounds& bounds) {
  return std::clamp(bounds.contact - kWatchMargin, kWatchMargin, kLongestWatch);
}

/// 0 if an organisation has no limit, or one that doesn't count tokens.
double quotaTokensOf(const GatewaySettings& settings) {
  double sum = 0;
  for (const GatewayOrganisation& organisation : settings.organisations) {
    if (organisation.rate <= 0 || !organisation.countsTokens) return 0;
    sum += organisation.rate;
  }
  return sum;
}

FleetMember memberOf(const NodeStartup& startup) {
  return {startup.daemon, startup.peerListen, static_cast<std::uint64_t>(wallClockMs()),
          startup.domain, startup.capacity};
}

}  // namespace

GatewayNode::GatewayNode(NodeStartup startup, NodePorts ports, std::string startupPath)
    : startup_(std::move(startup)),
      ports_(std::move(ports)),
      startupPath_(std::move(startupPath)),
      self_(memberOf(startup_)),
      engine_(trafficLoop_, trafficOptions(), ports_.codec, metrics_),
      readiness_([this] { return engine_.ready() && !stopAsked_; }),
      metricsPage_(metrics_),
      callers_(trafficLoop_, startup_.callerListen, engine_, metrics_),
      readinessServer_(trafficLoop_, startup_.readinessListen, readiness_, metrics_),
      fleet_(self_, clockNow()),
      copy_(controlLoop_, ports_, watchWait(startup_.bounds),
            {[this](const GatewaySettings& settings) { applySettings(settings); },
             [this](const std::vector<UpstreamRecord>& upstreams) {
               trafficLoop_.post([this, upstreams] { engine_.setUpstreams(upstreams); });
             }}),
      // All daemons of a deployment share its store, and no two deployments do.
      link_(controlLoop_, startup_.peerListen, startup_.storeAddress,
            {[this](const FleetReport& report) { takeReport(report); },
             [this](const SnapshotAsk& ask) { return copy_.snapshot(ask); }}) {
  if (!startup_.metricsListen.empty()) {
    metricsServer_.emplace(trafficLoop_, startup_.metricsListen, metricsPage_, metrics_);
  }
  fleet_.addAddresses(startup_.seeds);
  fleet_.noteWallClock(Millis(wallClockMs()), clockNow());
  engine_.setFleet({1, {}, fleet_.quotaFleet(clockNow()), fleet_.clock().offset()});
  startDuties();
}

GatewayNode::~GatewayNode() {
  // Each turn of the duties asks the control thread: that one ends last.
  duties_.reset();
  copy_.stop();
  controlLoop_.stop();
  if (controlThread_.joinable()) controlThread_.join();
}

TrafficOptions GatewayNode::trafficOptions() const {
  const NodeBounds& bounds = startup_.bounds;
  TrafficOptions options;
  options.domain = startup_.domain;
  options.ownIp = startup_.ownIp;
  options.retries = {bounds.retryRatio, bounds.retrySlack, bounds.retryWindow};
  options.quotas = {bounds.quotaOver, bounds.quotaSlack, bounds.quotaWindow};
  options.usageWindow = bounds.usageWindow;
  return options;
}

void GatewayNode::startDuties() {
  if (ports_.duties == nullptr || !startup_.reportsUsage) return;
  const NodeBounds& bounds = startup_.bounds;
  const DutyRunnerOptions options{{bounds.lease, bounds.usageWindow, bounds.usageDue},
                                  startup_.ordersReplicas};
  duties_ = std::make_unique<DutyRunner>(
      *ports_.duties, options, self_,
      DutyRunner::Callbacks{[this] { return dutyInput(); },
                            [this](std::size_t daemons) { noteEarlierSize(daemons); }},
      metrics_);
}

void GatewayNode::noteEarlierSize(std::size_t daemons) {
  controlLoop_.post([this, daemons] {
    fleet_.noteEarlierSize(daemons);
    tellTraffic(clockNow());
  });
}

DutyHolder GatewayNode::namedHolder(Instant now) const {
  DutyHolder reportedHolder = duties_ ? duties_->holder() : DutyHolder{};
  for (const FleetReport* report : fleet_.reports(now)) reportedHolder.mergeNewer(report->duties);
  return reportedHolder;
}

DutyInput GatewayNode::dutyInput() {
  DutyInput input;
  controlLoop_.call([&] {
    const Instant now = clockNow();
    input.leaving = leaving_;
    input.services = services_;
    input.upstreams = copy_.upstreams();
    input.quotaTokens = quotaTokens_;
    DutyFacts& facts = input.facts;
    facts.wallClock = fleet_.clock().at(now);
    facts.known = fleet_.known(now);
    facts.fleetDiscovered = fleet_.discoveryComplete(now);
    facts.usageComplete = fleet_.usageComplete(now);
    facts.usage = fleet_.usageElsewhere(now);
    addUsage(facts.usage, local_.usage);
    facts.heard = fleet_.liveOthers(now);
    if (!leaving_) facts.heard[self_.daemon] = self_.incarnation;
    UpstreamLoads loads = fleet_.loadsElsewhere(now);
    for (const auto& [upstream, load] : local_.loads) loads[upstream] += load;
    for (const UpstreamRecord& record : copy_.upstreams()) {
      const auto load = loads.find(record.id);
      if (load != loads.end()) input.load[record.service] += load->second.requests;
    }
    facts.reportedHolder = namedHolder(now);
    facts.storeAge = copy_.age(now);
  });
  return input;
}

void GatewayNode::applySettings(const GatewaySettings& settings) {
  services_ = settings.services;
  quotaTokens_ = quotaTokensOf(settings);
  GatewaySettings applied = settings;
  const std::size_t usable =
      startup_.descriptors - std::min(startup_.descriptors / 2, kReservedDescriptors);
  applied.limits.connections = usable / 2;
  const FrontLimits limits = applied.limits;
  const auto routes = std::make_shared<const RouteTable>(std::move(applied));
  trafficLoop_.post([this, routes, limits] {
    engine_.setSettings(routes);
    callers_.setLimits(limits);
  });
}

void GatewayNode::reportLocally() {
  const std::int64_t window = engine_.usage().windowAt(engine_.wallClock(clockNow()));
  engine_.usage().forgetBefore(window - kWindowsKept);
  LocalReport local{
      engine_.quota().spent(), engine_.upstreams().ownLoads(), engine_.usage().counts(), {}};
  for (const auto& [id, entry] : engine_.upstreams().entries()) {
    if (entry.record.state != UpstreamState::draining) continue;
    local.draining.emplace_back(id, entry.leaving.value_or(entry.record.incarnation));
  }
  controlLoop_.post([this, window, local = std::move(local)] {
    fleet_.forgetUsageBefore(window - kWindowsKept);
    reportToFleet(local);
  });
}

void GatewayNode::reportToFleet(const LocalReport& local) {
  const Instant now = clockNow();
  local_ = local;
  const Millis hostClock(wallClockMs());
  fleet_.noteWallClock(hostClock, now);
  logClock(hostClock, now);
  FleetReport report;
  report.self = self_;
  report.wallClock = hostClock;
  report.settingsVersion = copy_.state().settingsVersion;
  report.upstreamsVersion = copy_.state().upstreamsVersion;
  report.storeAge = copy_.age(now);
  report.spent = local.spent;
  report.loads = local.loads;
  report.usage = local.usage;
  report.draining = local.draining;
  report.leaving = leaving_;
  // What others named is passed on: not everyone hears the holder itself.
  report.duties = namedHolder(now);
  link_.push(fleet_.compose(report, now));
  tellTraffic(now);
  copy_.turn(fleet_, link_, now);
}

void GatewayNode::tellTraffic(Instant now) {
  FleetTrafficView told{fleet_.known(now), fleet_.loadsElsewhere(now), fleet_.quotaFleet(now),
                        fleet_.clock().offset()};
  logFleet(told, now);
  trafficLoop_.post([this, told = std::move(told), old = copy_.mayBeStale(now)] {
    engine_.setFleet(told);
    engine_.setSettingsMayBeStale(old);
  });
}

/// Windows of usage go by the clock that the daemons share: a host's own may be wrong.
void GatewayNode::logClock(Millis hostClock, Instant now) {
  const Millis ahead = hostClock - fleet_.clock().at(now);
  if (std::chrono::abs(ahead - loggedClockAhead_) < kClockDifference) return;
  loggedClockAhead_ = ahead;
  LogLine(LogLevel::info, "fleet.clock")
      .with("hostAheadMs", static_cast<std::int64_t>(ahead.count()))
      .with("heard", fleet_.heard(now));
}

/// How much of the fleet is heard decides this daemon's part of quotas and of the retry budget.
void GatewayNode::logFleet(const FleetTrafficView& told, Instant now) {
  const DaemonId relay = fleet_.ownRelay(now);
  const bool changed =
      told.quota.heard != loggedHeard_ || told.known != loggedKnown_ || relay != loggedRelay_;
  if (!changed || now - fleetLogged_ < kFleetLogPause) return;
  loggedHeard_ = told.quota.heard;
  loggedKnown_ = told.known;
  loggedRelay_ = relay;
  fleetLogged_ = now;
  LogLine(LogLevel::info, "fleet.heard")
      .with("heard", told.quota.heard)
      .with("known", told.known)
      .with("relay", fleet_.isRelay(now))
      .with("domainRelay", relay.str())
      .with("storeAgeMs", copy_.age(now));
}

void GatewayNode::takeReport(const FleetReport& report) {
  const Instant now = clockNow();
  FleetUpdate news = fleet_.receive(report, now);
  copy_.noteReport(report, now);
  if (news.newIncarnation) {
    LogLine(LogLevel::info, "fleet.member")
        .with("peer", report.self.daemon.str())
        .with("address", report.self.address)
        .with("incarnation", report.self.incarnation);
  }
  if (news.newlySpent.empty() && news.draining.empty()) return;
  trafficLoop_.post([this, news = std::move(news)] {
    for (const auto& [organisation, amount] : news.newlySpent) {
      engine_.noteSpentElsewhere(organisation, amount);
    }
    for (const UpstreamIncarnation& upstream : news.draining) engine_.noteDraining(upstream);
  });
}

void GatewayNode::run() {
  trafficLoop_.every(kReportPeriod, [this] { reportLocally(); });
  controlThread_ = std::thread([this] { controlLoop_.run(); });
  copy_.start();
  if (duties_) duties_->start();
  LogLine(LogLevel::info, "daemon.start")
      .with("callers", startup_.callerListen)
      .with("incarnation", self_.incarnation)
      .with("store", startup_.storeAddress);
  trafficLoop_.run();
  LogLine(LogLevel::info, "daemon.stopped").with("sessionsLeft", engine_.sessions());
}

void GatewayNode::stop() {
  if (stopAsked_.exchange(true)) return;
  LogLine(LogLevel::info, "daemon.stop").with("graceMs", startup_.bounds.grace);
  controlLoop_.post([this] { leaving_ = true; });
  trafficLoop_.post([this] {
    callers_.drain();
    stopTurn(clockNow());
  });
}

/// Serves what is under way, and callers that still come, until the balancer sends no more.
void GatewayNode::stopTurn(Instant began) {
  const auto passed = clockNow() - began;
  const bool unlisted = passed >= kUntilUnlisted;
  if (unlisted) {
    callers_.closeIdle();
    engine_.refuseNewRequests();
  }
  const bool idle = unlisted && engine_.sessions() == 0 && callers_.busy() == 0;
  if (idle || passed >= startup_.bounds.grace - kStopMargin) {
    trafficLoop_.stop();
    return;
  }
  trafficLoop_.after(kStopPeriod, [this, began] { stopTurn(began); });
}

void GatewayNode::reload() {
  std::ifstream file(startupPath_);
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  const NodeStartup fresh = readNodeStartup(text.str(), findings);
  if (!findings.empty()) {
    LogLine(LogLevel::error, "daemon.reloadRefused").with("findings", describe(findings));
    return;
  }
  LogLine(LogLevel::info, "daemon.reload").with("seeds", fresh.seeds.size());
  controlLoop_.post([this, seeds = fresh.seeds] { fleet_.addAddresses(seeds); });
}

}  // namespace Hallchute
