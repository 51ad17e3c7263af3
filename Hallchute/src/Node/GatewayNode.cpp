// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/GatewayNode.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "Hallchute/src/Fleet/ReportSums.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/ProcessMemory.h"
#include "Hallchute/src/Node/ArchiveReader.h"
#include "Hallchute/src/Node/ArchiveWriter.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/ThreadName.h"
#include "Hallchute/src/Ports/DutyPort.h"

namespace Hallchute {
namespace {

/// Period of the reports between daemons. The possible overdraft of a quota grows with it.
constexpr Millis kReportPeriod{200};
/// The load balancer probes readiness once a second and removes a daemon after two failures; until
/// then new callers still connect.
constexpr Millis kBalancerRemovalTime{2'600};
constexpr Millis kStopPollPeriod{50};
/// Part of the grace period that is reserved for ending the process.
constexpr Millis kExitMargin{700};
/// Time for the last answers to reach the kernel and for what callers sent ahead to be discarded: a
/// connection that ends with unread bytes is reset, and its last answer may be lost.
constexpr Millis kLastAnswersTime{100};
/// It promises nothing: a request in progress may have run.
constexpr int kBadGateway = 502;
/// Descriptors reserved for uses other than callers and upstreams.
constexpr std::size_t kReservedDescriptors = 300;
/// Reciprocal of the part of the process's memory that requests of callers may take. Answers,
/// sockets' buffers, peers' requests and the daemon itself need the rest.
constexpr std::size_t kCallersMemoryFraction = 4;
/// The same for messages of peers that aren't complete.
constexpr std::size_t kPeersMemoryFraction = 12;
/// Reciprocal of the part that bytes may take which have arrived and aren't read, if all places are
/// taken; some hosts count them.
constexpr std::size_t kUnreadMemoryFraction = 8;
/// Of a receive buffer, in bytes: less slows an ordinary request down, more no large one up within
/// a few milliseconds of distance.
constexpr std::size_t kMinReceiveBuffer = std::size_t{16} << 10U;
constexpr std::size_t kMaxReceiveBuffer = std::size_t{256} << 10U;
/// Bytes of the body of a request for a page, which needs none.
constexpr std::uint64_t kMaxPageBodyBytes = 4U << 10U;
/// Connections to the readiness page, and to the metrics page: part of the reserved descriptors.
constexpr std::size_t kMaxPageConnections = 64;
/// A page gets one connection for this many descriptors, up to that number.
constexpr std::size_t kDescriptorsPerPage = 16;
/// Minimum time between two log lines on how many daemons are heard from.
constexpr Millis kFleetLogInterval{1'000};
/// Changes of the clock's offset below this are not logged: they occur on a busy host.
constexpr Millis kLoggedClockDifference{500};
/// Delays of timers below this are not logged: they decide nothing.
constexpr Millis kLoggedTimerDelay{100};
/// Number of past usage windows to keep, as their reports may still be due.
constexpr std::int64_t kUsageWindowsKept = 8;
constexpr double kPermille = 1'000;

/// Sum of the organisations' token rates; 0 if one has no limit or its limit doesn't count tokens.
double quotaTokensOf(const GatewaySettings& settings) {
  double sum = 0;
  for (const GatewayOrganisation& organisation : settings.organisations) {
    if (organisation.rate <= 0 || !organisation.countsTokens) return 0;
    sum += organisation.rate;
  }
  return sum;
}

/// \p known with the stages that this daemon has just decided on, which its traffic thread adopts
/// a moment later.
std::vector<RolloutStage> withDecided(std::vector<RolloutStage> known,
                                      const std::vector<RolloutStage>& decided) {
  std::erase_if(known, [&](const RolloutStage& stage) {
    return std::any_of(decided.begin(), decided.end(),
                       [&](const RolloutStage& d) { return d.service == stage.service; });
  });
  known.insert(known.end(), decided.begin(), decided.end());
  return known;
}

std::vector<ServiceVersion> listedVersions(const UpstreamTable& upstreams) {
  std::set<ServiceVersion> versions;
  for (const auto& [id, entry] : upstreams.entries()) {
    if (!entry.unlistedSince) versions.insert({entry.record.service, entry.record.version});
  }
  return {versions.begin(), versions.end()};
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
      requestMemory_(requestMemoryLimits({})),
      engine_(trafficLoop_, trafficOptions(), ports_.codec, metrics_, requestMemory_),
      readiness_(
          [this] { return engine_.ready() && callerServer_.listening() && !stopRequested_; }),
      metricsPage_(metrics_),
      callerServer_(trafficLoop_, startup_.callerListen, engine_, metrics_, requestMemory_),
      readinessServer_(trafficLoop_, startup_.readinessListen, readiness_, metrics_,
                       requestMemory_),
      fleet_(self_, clockNow()),
      storeCopy_(controlLoop_, ports_, watchTimeout(startup_.bounds.contact),
                 {[this](const GatewaySettings& settings) { applySettings(settings); },
                  [this](const std::vector<UpstreamRecord>& upstreams) {
                    trafficLoop_.post([this, upstreams] { engine_.setUpstreams(upstreams); });
                  }},
                 metrics_),
      // The store's address identifies the deployment: no two deployments share a store.
      link_(controlLoop_, startup_.peerListen, startup_.storeAddress,
            {[this](const FleetReport& report) { handleReport(report); },
             [this](const SnapshotRequest& request) { return storeCopy_.snapshot(request); }},
            metrics_),
      forwarding_(trafficLoop_, controlLoop_, link_.transport(), forwardingCallbacks()),
      originLink_(trafficLoop_, controlLoop_, link_.transport(), originCallbacks()),
      slotLink_(trafficLoop_, controlLoop_, link_.transport(), [this](const UpstreamId& upstream) {
        return fleet_.slotCoordinator(upstream, leaving_, clockNow());
      }) {
  engine_.setForwarder(&forwarding_);
  engine_.setOriginExchange(&originLink_);
  engine_.setSlotExchange(&slotLink_);
  callerServer_.setLimits(callerLimits({}));
  link_.transport().setMessageMemory(memory() / kPeersMemoryFraction);
  callerServer_.setReceiveBuffer(receiveBuffer());
  readinessServer_.setLimits(pageLimits());
  readinessServer_.setReceiveBuffer(kMinReceiveBuffer);
  serveMetrics();
  fleet_.addAddresses(startup_.seeds);
  fleet_.noteWallClock(Millis(wallClockMs()), clockNow());
  engine_.setFleet(
      {1, {}, fleet_.quotaFleet(clockNow()), fleet_.clock().offset(), CrashLedger::kMaxCrashes});
  startRollouts();
  startDuties();
  startArchive();
}

GatewayNode::~GatewayNode() {
  // The duty thread calls into the control loop, so that one must end last.
  duties_.reset();
  archiveWriter_.reset();
  if (archiveReader_) archiveReader_->stop();
  if (rollouts_) rollouts_->stop();
  storeCopy_.stop();
  controlLoop_.stop();
  if (controlThread_.joinable()) controlThread_.join();
  // Sessions that are left end after it.
  engine_.setForwarder(nullptr);
  engine_.setOriginExchange(nullptr);
  engine_.setOriginArchive(nullptr);
  engine_.setSlotExchange(nullptr);
}

void GatewayNode::serveMetrics() {
  if (startup_.metricsListen.empty()) return;
  try {
    metricsServer_.emplace(trafficLoop_, startup_.metricsListen, metricsPage_, metrics_,
                           requestMemory_);
    metricsServer_->setLimits(pageLimits());
    metricsServer_->setReceiveBuffer(kMinReceiveBuffer);
  } catch (const Poco::Exception& e) {
    LogLine(LogLevel::error, "listener.unavailable")
        .with("address", startup_.metricsListen)
        .with("detail", e.displayText());
  }
}

TrafficOptions GatewayNode::trafficOptions() const {
  const NodeBounds& bounds = startup_.bounds;
  TrafficOptions options;
  options.domain = startup_.domain;
  options.ownIp = startup_.ownIp;
  options.retries = {bounds.retryRatio, bounds.retrySlack, bounds.retryWindow};
  options.hedges = {startup_.hedging.percent, startup_.hedging.minDelay};
  options.quotas = {bounds.quotaOverdraftRatio, bounds.quotaSlack, bounds.quotaWindow};
  options.usageWindow = bounds.usageWindow;
  options.admission = startup_.admission;
  options.estimatesSpeeds = startup_.placement.estimates;
  options.answers = startup_.answers;
  options.rollouts = bounds.exposeShare.has_value();
  return options;
}

void GatewayNode::startRollouts() {
  const NodeBounds& bounds = startup_.bounds;
  if (!bounds.exposeShare || ports_.rollouts == nullptr || ports_.rolloutStatus == nullptr) return;
  const RolloutPolicy policy{*bounds.exposeShare, static_cast<std::uint64_t>(bounds.exposeSlack),
                             bounds.rollback};
  rollouts_ = std::make_unique<RolloutRunner>(
      RolloutPorts{*ports_.rollouts, *ports_.rolloutStatus, ports_.readRollout}, policy, self_,
      watchTimeout(bounds.contact), metrics_);
}

void GatewayNode::mergeStages(std::vector<RolloutStage> stages) {
  if (stages.empty() || !startup_.bounds.exposeShare) return;
  trafficLoop_.post([this, stages = std::move(stages)] {
    for (const RolloutStage& stage : engine_.versionShares().merge(stages, clockNow())) {
      LogLine(LogLevel::info, "rollout.adopted")
          .with("service", stage.service.str())
          .with("target", stage.target.str())
          .with("phase", describe(stage.phase))
          .with("sharePermille", static_cast<std::uint64_t>(stage.share * kPermille))
          .with("step", static_cast<std::uint64_t>(stage.step))
          .with("epoch", stage.epoch)
          .with("ageMs", stage.age);
    }
  });
}

/// Loads of upstreams that are no longer listed can't be told by version and aren't counted.
RolloutView GatewayNode::rolloutView(Instant now) const {
  RolloutView view;
  view.holder = latestHolder(now);
  view.wallClock = fleet_.clock().at(now);
  view.stages = localReport_.rollouts;
  if (!duties_ || view.holder.daemon != self_.daemon) return view;
  UpstreamLoads loads = fleet_.loadsElsewhere(now);
  for (const auto& [upstream, load] : localReport_.loads) loads[upstream] += load;
  VersionEvidences evidence = fleet_.evidenceElsewhere(now);
  addEvidence(evidence, localReport_.evidence);
  for (const UpstreamRecord& record : storeCopy_.upstreams()) {
    VersionFleet& version = view.facts[record.service].versions[record.version];
    if (record.state == UpstreamState::ready) ++version.upstreams;
    const auto load = loads.find(record.id);
    if (load != loads.end()) version.inFlight += load->second.requests;
  }
  for (auto& [service, facts] : view.facts) {
    facts.wallClock = view.wallClock;
    facts.evidence = evidence;
    facts.reportLag = fleet_.reportLag(now);
  }
  return view;
}

void GatewayNode::startDuties() {
  if (ports_.duties == nullptr || !startup_.reportsUsage) return;
  const NodeBounds& bounds = startup_.bounds;
  const DutyRunnerOptions options{{bounds.lease, bounds.usageWindow, bounds.usageDue},
                                  startup_.ordersReplicas};
  duties_ = std::make_unique<DutyRunner>(
      *ports_.duties, options, self_,
      DutyRunner::Callbacks{
          [this] { return dutyInput(); }, [this](std::size_t daemons) { noteEarlierSize(daemons); },
          [this](std::vector<CrashHistory> histories) { mergeCrashes(std::move(histories)); },
          [this](std::vector<ServiceLimit> limits) { noteEarlierLimits(std::move(limits)); },
          [this](std::uint64_t epoch, const std::vector<RolloutRecord>& stored) {
            if (rollouts_) rollouts_->noteHeld(epoch, stored);
          }},
      metrics_);
}

void GatewayNode::startArchive() {
  if (ports_.archive == nullptr) return;
  archiveReader_ = std::make_unique<ArchiveReader>(trafficLoop_, *ports_.archive, metrics_);
  engine_.setOriginArchive(archiveReader_.get());
  archiveWriter_ = std::make_unique<ArchiveWriter>(
      *ports_.archive, self_.daemon, [this] { return servedBefore(); }, metrics_);
}

/// Without an archive the fleet may still have served: by a release that kept none.
bool GatewayNode::servedBefore() const {
  if (ports_.duties == nullptr || !startup_.reportsUsage) return false;
  const absl::StatusOr<StoredDutyRecord> stored = ports_.duties->read(ReadConsistency::latest);
  if (!stored.ok()) return !absl::IsNotFound(stored.status());
  return !stored->record.finalUsage.empty() || !stored->record.openUsage.empty();
}

void GatewayNode::noteEarlierSize(std::size_t daemons) {
  controlLoop_.post([this, daemons] {
    fleet_.noteEarlierSize(daemons);
    updateTraffic(clockNow());
  });
}

void GatewayNode::mergeCrashes(std::vector<CrashHistory> histories) {
  if (histories.empty()) return;
  trafficLoop_.post([this, histories = std::move(histories)] { engine_.mergeCrashes(histories); });
}

void GatewayNode::noteEarlierLimits(std::vector<ServiceLimit> limits) {
  LogLine(LogLevel::info, "fleet.earlierLimits")
      .with("services", static_cast<std::uint64_t>(limits.size()));
  trafficLoop_.post([this, limits = std::move(limits)] {
    engine_.upstreamTable().noteEarlierRejectionLimits(limits, clockNow());
  });
}

void GatewayNode::mergeLimits(const FleetReport& report) {
  if (report.limits.empty() && report.rejectionLimits.empty()) return;
  trafficLoop_.post([this, limits = report.limits, rejections = report.rejectionLimits] {
    engine_.upstreamTable().limits().merge(limits, clockNow());
    engine_.upstreamTable().rejectionLimits().merge(rejections, clockNow());
  });
}

/// A part of the fleet that the rest can't reach, while each part reaches the store, may crash only
/// its share of upstreams under a request: the bound is that of the fleet.
std::size_t GatewayNode::crashLimit(Instant now) const {
  const bool inContact = storeCopy_.age(now) < startup_.bounds.contact;
  if (!inContact || !fleet_.discoveryComplete(now)) return CrashLedger::kMaxCrashes;
  return CrashLedger::limitFor(fleet_.liveCount(now), fleet_.expectedCount(now));
}

ForwardingLink::Callbacks GatewayNode::forwardingCallbacks() {
  return {[this](const ForwardedRequest& request, const std::set<DaemonId>& excluded) {
            const UpstreamCriteria& criteria = request.criteria;
            return fleet_.forwardingPeer(criteria.service, criteria.requestId, excluded,
                                         clockNow());
          },
          [this](std::uint64_t assist, ForwardedRequest request, ForwardingLink::ReplySink reply) {
            engine_.assist(assist, std::move(request), std::move(reply));
          },
          [this](std::uint64_t assist) { engine_.cancelAssist(assist); }};
}

OriginLink::Callbacks GatewayNode::originCallbacks() {
  return {[this](StreamKey stream) { return fleet_.originHolders(stream, clockNow()); },
          [this](StreamKey stream) { return fleet_.originHoldersToAsk(stream, clockNow()); },
          [this](std::span<const StreamOrigin> origins) {
            engine_.origins().merge(origins, clockNow());
          },
          [this](StreamKey stream, const ServiceName& service, OriginLink::PeerReplySink onReply) {
            engine_.originResolver().reply(stream, service, clockNow(), std::move(onReply));
          }};
}

DutyHolder GatewayNode::latestHolder(Instant now) const {
  DutyHolder latest = duties_ ? duties_->holder() : DutyHolder{};
  for (const FleetReport* report : fleet_.reports(now)) latest.mergeNewer(report->duties);
  return latest;
}

DutyInput GatewayNode::dutyInput() {
  DutyInput input;
  controlLoop_.call([&] {
    const Instant now = clockNow();
    input.leaving = leaving_;
    input.services = services_;
    input.upstreams = storeCopy_.upstreams();
    input.quotaTokens = quotaTokens_;
    DutyFacts& facts = input.facts;
    facts.wallClock = fleet_.clock().at(now);
    facts.expected = fleet_.expectedCount(now);
    facts.fleetDiscovered = fleet_.discoveryComplete(now);
    facts.usageComplete = fleet_.usageComplete(now);
    facts.usage = fleet_.usageElsewhere(now);
    addUsage(facts.usage, localReport_.usage);
    facts.crashHistories = localReport_.crashHistories;
    facts.rejectionLimits = localReport_.serviceLimits;
    facts.live = fleet_.liveOthers(now);
    if (!leaving_) facts.live[self_.daemon] = self_.incarnation;
    UpstreamLoads loads = fleet_.loadsElsewhere(now);
    for (const auto& [upstream, load] : localReport_.loads) loads[upstream] += load;
    for (const UpstreamRecord& record : storeCopy_.upstreams()) {
      const auto load = loads.find(record.id);
      if (load != loads.end()) input.load[record.service] += load->second.requests;
    }
    facts.reportedHolder = latestHolder(now);
    facts.storeAge = storeCopy_.age(now);
    if (rollouts_) facts.rollouts = rollouts_->records();
  });
  return input;
}

void GatewayNode::applySettings(const GatewaySettings& settings) {
  services_ = settings.services;
  quotaTokens_ = quotaTokensOf(settings);
  GatewaySettings applied = settings;
  applied.limits = callerLimits(applied.limits);
  const FrontLimits limits = applied.limits;
  const auto routes = std::make_shared<const RouteTable>(std::move(applied));
  trafficLoop_.post([this, routes, limits] {
    engine_.setSettings(routes);
    callerServer_.setLimits(limits);
    requestMemory_.setLimits(requestMemoryLimits(limits));
  });
}

/// Each caller may need a connection to an upstream.
FrontLimits GatewayNode::callerLimits(FrontLimits limits) const {
  const std::size_t reserved = std::min(startup_.descriptors / 2, kReservedDescriptors);
  limits.connections = (startup_.descriptors - reserved) / 2;
  return limits;
}

FrontLimits GatewayNode::pageLimits() const {
  FrontLimits limits;
  limits.connections = std::min(startup_.descriptors / kDescriptorsPerPage, kMaxPageConnections);
  limits.bodyBytes = kMaxPageBodyBytes;
  return limits;
}

std::size_t GatewayNode::memory() const {
  return startup_.memory.value_or(physicalMemory());
}

/// Of a caller's connection, in bytes.
std::size_t GatewayNode::receiveBuffer() const {
  const std::size_t connections = std::max<std::size_t>(1, callerLimits({}).connections);
  const std::size_t part = memory() / kUnreadMemoryFraction / connections;
  return std::clamp(part, kMinReceiveBuffer, kMaxReceiveBuffer);
}

RequestMemoryLimits GatewayNode::requestMemoryLimits(const FrontLimits& limits) const {
  const std::size_t share = memory() / kCallersMemoryFraction;
  const std::size_t largest =
      RequestMemoryLimits::largestRequest(limits.headBytes, limits.bodyBytes);
  const RequestMemoryLimits divided = RequestMemoryLimits::divide(share, largest);
  const bool raised = divided.bytes > share;
  LogLine(raised ? LogLevel::warning : LogLevel::info, "request.memory")
      .with("machine", memory())
      .with("limit", divided.bytes)
      .with("limitOfLarge", divided.largeBytes)
      .with("largestRequest", largest)
      .with("raised", raised);
  return divided;
}

/// Reports what is held of requests, and returns memory to the system after much was.
void GatewayNode::reportMemory() {
  metrics_.set("hallchute_request_memory_bytes", "", static_cast<double>(requestMemory_.held()));
  metrics_.set("hallchute_request_memory_limit_bytes", "",
               static_cast<double>(requestMemory_.limits().bytes));
  if (requestMemory_.takeFall()) controlLoop_.post([] { returnFreeMemory(); });
}

void GatewayNode::collectLocalReport() {
  reportMemory();
  const std::int64_t window = engine_.usage().windowAt(engine_.wallClock(clockNow()));
  engine_.usage().forgetBefore(window - kUsageWindowsKept);
  LocalReport local{engine_.quota().spent(),
                    engine_.upstreams().ownLoads(),
                    engine_.admission().queue().loads(),
                    engine_.usage().counts(),
                    {},
                    engine_.crashes().report(forwards_, clockNow()),
                    engine_.crashes().historiesToStore(),
                    engine_.upstreamTable().limits().report(forwards_, clockNow()),
                    engine_.upstreamTable().rejectionLimits().report(forwards_, clockNow()),
                    engine_.paths().lostServices(),
                    engine_.upstreams().serviceRejectionLimits(),
                    engine_.versionShares().report(clockNow()),
                    engine_.versionShares().evidence()};
  for (const auto& [id, entry] : engine_.upstreams().entries()) {
    if (entry.record.state != UpstreamState::draining) continue;
    local.draining.emplace_back(id, entry.leaving.value_or(entry.record.incarnation));
  }
  if (archiveWriter_ && !engine_.originResolver().shards().owned.empty()) {
    archiveWriter_->update({engine_.streamsToArchive(), listedVersions(engine_.upstreams())});
  }
  controlLoop_.post([this, window, local = std::move(local)] {
    fleet_.forgetUsageBefore(window - kUsageWindowsKept);
    sendFleetReport(local);
  });
}

void GatewayNode::sendFleetReport(const LocalReport& local) {
  const Instant now = clockNow();
  localReport_ = local;
  const Millis hostClock(wallClockMs());
  fleet_.noteWallClock(hostClock, now);
  logClockOffset(hostClock, now);
  fleet_.setLostPaths(local.lostPaths);
  FleetReport report;
  report.self = self_;
  report.wallClock = hostClock;
  report.settingsVersion = storeCopy_.state().settingsVersion;
  report.upstreamsVersion = storeCopy_.state().upstreamsVersion;
  report.storeAge = storeCopy_.age(now);
  report.spent = local.spent;
  report.loads = local.loads;
  report.waiting = local.waiting;
  report.usage = local.usage;
  report.draining = local.draining;
  report.crashes = local.crashes;
  report.limits = local.limits;
  report.rejectionLimits = local.rejectionLimits;
  report.evidence = local.evidence;
  report.rollouts = local.rollouts;
  if (rollouts_) {
    const std::vector<RolloutStage> decided = rollouts_->tick(rolloutView(now));
    mergeStages(decided);
    report.rollouts = withDecided(std::move(report.rollouts), decided);
  }
  report.leaving = leaving_;
  // Forwards the holder reported by others, as not every daemon receives the holder's own reports.
  report.duties = latestHolder(now);
  link_.sendReports(fleet_.compose(report, now));
  forwards_ = fleet_.forwards(now);
  updateTraffic(now);
  storeCopy_.tick(fleet_, link_, now);
}

void GatewayNode::updateTraffic(Instant now) {
  FleetTrafficView trafficView{fleet_.expectedCount(now),
                               fleet_.loadsElsewhere(now),
                               fleet_.quotaFleet(now),
                               fleet_.clock().offset(),
                               crashLimit(now),
                               fleet_.limitFleet(now),
                               fleet_.archiveShards(now),
                               fleet_.retrySharers(now),
                               fleet_.waitingElsewhere(now),
                               fleet_.reportLag(now)};
  trafficView.loadsAge = fleet_.loadsAge(now);
  // The others no longer count on a daemon that is leaving.
  if (leaving_) trafficView.limitFleet.active = false;
  if (leaving_) trafficView.retrySharers = 0;
  logFleetState(trafficView, now);
  if (archiveReader_) archiveReader_->setDaemons(trafficView.expectedDaemons);
  slotLink_.setFleet(fleet_.liveFraction(now), self_.daemon, now);
  trafficLoop_.post(
      [this, trafficView = std::move(trafficView), stale = storeCopy_.mayBeStale(now)] {
        engine_.setFleet(trafficView);
        engine_.setSettingsMayBeStale(stale);
      });
}

/// Logs changes of the host clock's offset from the shared clock. Usage windows follow the shared
/// clock because a host's own may be wrong.
void GatewayNode::logClockOffset(Millis hostClock, Instant now) {
  const Millis ahead = hostClock - fleet_.clock().at(now);
  if (std::chrono::abs(ahead - loggedClockAhead_) < kLoggedClockDifference) return;
  loggedClockAhead_ = ahead;
  LogLine(LogLevel::info, "fleet.clock")
      .with("hostAheadMs", static_cast<std::int64_t>(ahead.count()))
      .with("heard", fleet_.liveCount(now));
}

/// Logs how many daemons are heard from, which determines this daemon's share of quotas and of the
/// retry budget.
void GatewayNode::logFleetState(const FleetTrafficView& trafficView, Instant now) {
  const DaemonId relay = fleet_.ownRelay(now);
  const bool changed = trafficView.quota.liveDaemons != loggedHeard_ ||
                       trafficView.expectedDaemons != loggedKnown_ || relay != loggedRelay_;
  if (!changed || now - fleetLogged_ < kFleetLogInterval) return;
  loggedHeard_ = trafficView.quota.liveDaemons;
  loggedKnown_ = trafficView.expectedDaemons;
  loggedRelay_ = relay;
  fleetLogged_ = now;
  LogLine(LogLevel::info, "fleet.heard")
      .with("heard", trafficView.quota.liveDaemons)
      .with("known", trafficView.expectedDaemons)
      .with("relay", fleet_.isRelay(now))
      .with("domainRelay", relay.str())
      .with("storeAgeMs", storeCopy_.age(now));
}

void GatewayNode::handleReport(const FleetReport& report) {
  const Instant now = clockNow();
  FleetUpdate update = fleet_.receive(report, now);
  storeCopy_.noteReport(report, now);
  mergeCrashes(report.crashes);
  mergeLimits(report);
  mergeStages(report.rollouts);
  if (update.newIncarnation) {
    LogLine(LogLevel::info, "fleet.member")
        .with("peer", report.self.daemon.str())
        .with("address", report.self.address)
        .with("incarnation", report.self.incarnation);
  }
  if (update.lostPathsChanged) {
    LogLine(LogLevel::info, "fleet.paths")
        .with("peer", report.self.daemon.str())
        .with("lost", static_cast<std::uint64_t>(report.self.lostPaths.size()));
  }
  if (update.newlySpent.empty() && update.draining.empty()) return;
  trafficLoop_.post([this, update = std::move(update)] {
    for (const auto& [organisation, amount] : update.newlySpent) {
      engine_.noteSpentElsewhere(organisation, amount);
    }
    for (const UpstreamIncarnation& upstream : update.draining) engine_.noteDraining(upstream);
  });
}

void GatewayNode::reportDelays(EventLoop& loop, std::string_view name) {
  const std::string labels = "loop=\"" + std::string(name) + "\"";
  loop.observeDelay([this, labels, name](Millis delay) {
    metrics_.time("hallchute_timer_delay_ms", labels, delay);
    if (delay < kLoggedTimerDelay) return;
    LogLine(LogLevel::info, "timers.late").with("loop", name).with("delayMs", delay);
  });
}

void GatewayNode::run() {
  reportDelays(trafficLoop_, "traffic");
  reportDelays(controlLoop_, "control");
  trafficLoop_.every(kReportPeriod, [this] { collectLocalReport(); });
  controlThread_ = std::thread([this] {
    nameThread("control");
    controlLoop_.run();
  });
  storeCopy_.start();
  if (rollouts_) rollouts_->start();
  if (duties_) duties_->start();
  if (archiveReader_) archiveReader_->start();
  if (archiveWriter_) archiveWriter_->start();
  LogLine(LogLevel::info, "daemon.start")
      .with("callers", startup_.callerListen)
      .with("incarnation", self_.incarnation)
      .with("store", startup_.storeAddress);
  trafficLoop_.run();
  LogLine(LogLevel::info, "daemon.stopped").with("sessionsLeft", engine_.sessions());
}

void GatewayNode::stop() {
  if (stopRequested_.exchange(true)) return;
  LogLine(LogLevel::info, "daemon.stop").with("graceMs", startup_.bounds.grace);
  controlLoop_.post([this] { leaving_ = true; });
  trafficLoop_.post([this] {
    callerServer_.drain();
    engine_.refuseWaitingRequests();
    pollStop(clockNow());
  });
}

/// Ends the traffic loop once the load balancer has removed this daemon and all sessions are done,
/// or shortly before the grace period ends. Serves pending requests and new callers until then.
void GatewayNode::pollStop(Instant began) {
  const auto elapsed = clockNow() - began;
  // The load balancer sends nobody to a daemon that was never ready.
  const bool removedFromBalancer = !callerServer_.listening() || elapsed >= kBalancerRemovalTime;
  if (removedFromBalancer) {
    callerServer_.closeIdle();
    engine_.refuseNewRequests();
  }
  const bool idle = removedFromBalancer && engine_.sessions() == 0 && callerServer_.busy() == 0;
  if (idle) {
    trafficLoop_.stop();
    return;
  }
  if (elapsed >= startup_.bounds.grace - kExitMargin) {
    engine_.refuseNewRequests();
    callerServer_.failUnanswered(kBadGateway);
    trafficLoop_.after(kLastAnswersTime, [this] { trafficLoop_.stop(); });
    return;
  }
  trafficLoop_.after(kStopPollPeriod, [this, began] { pollStop(began); });
}

void GatewayNode::reload() {
  std::ifstream file(startupPath_);
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  const NodeStartup reloaded = readNodeStartup(text.str(), findings);
  if (!findings.empty()) {
    LogLine(LogLevel::error, "daemon.reloadRefused").with("findings", describe(findings));
    return;
  }
  LogLine(LogLevel::info, "daemon.reload").with("seeds", reloaded.seeds.size());
  controlLoop_.post([this, seeds = reloaded.seeds] { fleet_.addAddresses(seeds); });
}

}  // namespace Hallchute
