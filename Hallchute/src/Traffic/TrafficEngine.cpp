// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Traffic/TrafficEngine.h"

#include <algorithm>
#include <utility>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Front/FrontExchange.h"
#include "Hallchute/src/Gateway/RequestMemory.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Ports/TrafficCodec.h"
#include "Hallchute/src/Traffic/AssistedDispatch.h"
#include "Hallchute/src/Traffic/OriginExchange.h"
#include "Hallchute/src/Traffic/RetryAfter.h"
#include "Hallchute/src/Traffic/TrafficSession.h"

namespace Hallchute {
namespace {

constexpr Millis kSweepPeriod{500};
/// Streams that begin within this time are reported together; a caller that returns sooner may find
/// that nobody knows its stream.
constexpr Millis kStreamReportDelay{20};
/// How far a host's wall clock may be off when an upstream's start is compared with it.
constexpr Millis kClockTolerance{1'000};
constexpr double kPercent = 100;
constexpr double kSecondsPerMinute = 60;
/// Part of the rejections that an upstream can bear which daemons may cause: requests that are on
/// their way when it rejects one may be rejected too.
constexpr double kRiskedRejectionFraction = 0.5;
/// Retry-After of a daemon that has no settings yet, or possibly stale ones: about the duration of
/// a start.
constexpr Millis kNoSettingsRetryAfter{300};
/// Retry-After of a daemon that is stopping: another daemon can serve the request at once.
constexpr Millis kOtherDaemonRetryAfter{10};
/// Retry-After of a request in quarantine: any daemon refuses it until it is forgotten.
constexpr Millis kQuarantineRetryAfter = CrashLedger::kRetention;
/// Retry-After of a request that there is no memory for: about the time until some of those in
/// progress have been answered. Another daemon may have room at once.
constexpr Millis kMemoryRetryAfter{250};
/// Parts of a prompt that are watched for crashes: bounds the cost of a request with many.
constexpr std::size_t kMaxSuspectParts = 16;
/// Fraction of an upstream's connection limit that the known daemons divide among them. The rest
/// is reserved for daemons that this one has not discovered.
constexpr double kAllocatedConnectionFraction = 0.9;
/// Of the connections for callers, for each request that is dispatched for another daemon at the
/// same time. It takes descriptors and memory as a caller does, and if few daemons have a path to
/// the upstreams, all the others' requests come to them.
constexpr std::size_t kCallersPerAssist = 4;
/// Minimum connections per upstream; in a large fleet a daemon's share would be too small to work.
constexpr std::size_t kMinConnections = 3;

/// What a request counts. Tokens beyond what a replica of its service can hold are never used, as
/// it would reject the request.
double quotaAmount(const GatewayOrganisation& organisation, const ClientRequest& request,
                   const GatewayService* service) {
  if (!organisation.countsTokens) return 1;
  if (!request.promptTokens) return static_cast<double>(organisation.defaultTokens);
  const std::uint64_t tokens = *request.promptTokens + request.maxOutputTokens;
  const bool bounded = service != nullptr && service->engine && service->engine->cacheTokens > 0;
  return static_cast<double>(bounded ? std::min(tokens, service->engine->cacheTokens) : tokens);
}

CrashSuspects suspectsOf(const FrontExchange& exchange, const SessionAdmission& admission) {
  const GatewayOrganisation* organisation = admission.organisation;
  const HttpHead& head = exchange.head();
  CrashSuspects suspects;
  suspects.content = fingerprintOf(
      head.method, head.target, organisation == nullptr ? OrganisationName() : organisation->name,
      exchange.body());
  // The last part is the request's own, so that its content stands for it.
  const std::vector<PromptPart>& prompt = admission.request.prompt;
  const ServiceName& service =
      RouteTable::pickTarget(*admission.route, admission.request.firstAttempt().str());
  for (std::size_t i = 0; i + 1 < prompt.size() && i < kMaxSuspectParts; ++i) {
    suspects.parts.push_back(fingerprintOfPart(service, prompt[i].id));
  }
  return suspects;
}

}  // namespace

TrafficEngine::TrafficEngine(EventLoop& loop, TrafficOptions options, const TrafficCodec& codec,
                             Metrics& metrics, RequestMemory& memory)
    : loop_(loop),
      options_(std::move(options)),
      codec_(codec),
      metrics_(metrics),
      memory_(memory),
      selector_(upstreams_, metrics),
      admission_(loop, upstreams_, metrics, options_.admission),
      prober_(loop, upstreams_, pool_, metrics),
      pool_(loop, options_.ownIp, options_.answers, prober_, metrics),
      quota_(clockNow(), options_.quotas),
      usage_(options_.usageWindow),
      versionShares_(options_.rollouts),
      hedges_(options_.hedges) {
  upstreams_.setUsesEstimates(options_.estimatesSpeeds);
  requestsWait_ = [this](const ServiceName& service) {
    return admission_.queue().waiting(service) > 0;
  };
  loop_.every(kSweepPeriod, [this] { sweep(); });
}

TrafficEngine::~TrafficEngine() = default;

void TrafficEngine::sweep() {
  const Instant now = clockNow();
  pool_.sweep(now);
  upstreams_.sweep(now);
  crashes_.sweep(now);
  origins_.sweep(now);
}

void TrafficEngine::setSettings(std::shared_ptr<const RouteTable> routes) {
  if (routes_ != nullptr && routes->settings().version <= routes_->settings().version) return;
  LogLine(LogLevel::info, "settings.applied")
      .with("version", routes->settings().version)
      .with("before", routes_ == nullptr ? 0 : routes_->settings().version)
      .with("routes", routes->settings().routes.size());
  routes_ = std::move(routes);
  quota_.setOrganisations(routes_->settings().organisations, clockNow());
  upstreams_.setServices(routes_->settings().services);
}

void TrafficEngine::setUpstreams(std::span<const UpstreamRecord> records) {
  const Instant now = clockNow();
  // An entry that is only gone proves nothing: its host may be cut off from the directory.
  for (const UpstreamRecord& record : records) {
    const UpstreamEntry* known = upstreams_.find(record.id);
    if (known == nullptr || record.incarnation == 0) continue;
    const std::uint64_t before = known->record.incarnation;
    if (record.incarnation != before) noteProcessEnded({record.id, before});
  }
  noteReplacedProcesses(records, now);
  versionShares_.noteListed(records, now);
  for (const UpstreamId& removed : upstreams_.replace(records, now)) {
    const UpstreamEntry* entry = upstreams_.find(removed);
    const bool restarted = entry != nullptr && !entry->unlistedSince;
    LogLine(LogLevel::info, restarted ? "upstream.restarted" : "upstream.gone")
        .with("upstream", removed.str())
        .with("incarnation", entry == nullptr ? 0 : entry->record.incarnation);
    pool_.closeIdle(removed);
  }
}

/// The listing shows a new process late: streams that began in between were taken for those of the
/// process before, whose version may differ.
void TrafficEngine::noteReplacedProcesses(std::span<const UpstreamRecord> records, Instant now) {
  for (const UpstreamRecord& record : records) {
    const UpstreamEntry* known = upstreams_.find(record.id);
    if (known == nullptr || record.incarnation <= known->record.incarnation) continue;
    if (known->record.version == record.version) continue;
    const Millis age = wallClock(now) - Millis(record.incarnation) + kClockTolerance;
    reportStreams(origins_.noteReplaced(record.id, now - age));
  }
}

void TrafficEngine::noteStreamBegan(const StreamOrigin& origin, const UpstreamId& upstream) {
  origins_.noteBegan(origin, upstream, clockNow());
  reportStreams({origin});
}

/// Another daemon may have to continue it next, and may know less by then.
void TrafficEngine::noteStreamContinued(const StreamOrigin& origin) {
  if (origins_.find(origin.stream) != nullptr) return;
  origins_.merge({&origin, 1}, clockNow());
  reportStreams({origin});
}

std::vector<StreamOrigin> TrafficEngine::streamsToArchive() const {
  if (routes_ == nullptr) return {};
  Millis longest{0};
  for (const Route& route : routes_->settings().routes) {
    if (route.resumable) longest = std::max(longest, route.timeLimit);
  }
  return origins_.recorded(originResolver_.shards(), clockNow() - longest - kStreamReportDelay);
}

void TrafficEngine::reportStreams(std::vector<StreamOrigin> origins) {
  if (origins.empty() || originExchange_ == nullptr) return;
  const bool scheduled = !unreportedOrigins_.empty();
  unreportedOrigins_.insert(unreportedOrigins_.end(), origins.begin(), origins.end());
  if (scheduled) return;
  loop_.after(kStreamReportDelay, [this] {
    metrics_.add("hallchute_streams_reported_total", "", unreportedOrigins_.size());
    if (originExchange_ != nullptr) originExchange_->tell(std::move(unreportedOrigins_));
    unreportedOrigins_.clear();
  });
}

void TrafficEngine::noteDraining(const UpstreamIncarnation& upstream) {
  upstreams_.noteDraining(upstream.id, upstream.incarnation);
}

void TrafficEngine::noteDrainingAnswer(const UpstreamIncarnation& upstream) {
  const UpstreamEntry* entry = upstreams_.find(upstream.id);
  if (entry == nullptr || entry->record.state == UpstreamState::draining) return;
  // From an earlier process under the same id.
  if (entry->record.incarnation != upstream.incarnation) return;
  LogLine(LogLevel::info, "upstream.draining").with("upstream", upstream.id.str());
  noteDraining(upstream);
  pool_.closeIdle(upstream.id);
}

void TrafficEngine::setFleet(const FleetTrafficView& view) {
  daemonCount_ = std::max<std::size_t>(1, view.expectedDaemons);
  retrySlack_.setSharers(view.retrySharers, clockNow());
  clockOffset_ = view.clockOffset;
  upstreams_.setReportAge(view.loadsAge);
  upstreams_.setPeerLoads(view.loads, clockNow());
  quota_.setFleet(view.quota, clockNow());
  crashes_.setLimit(view.crashLimit);
  crashes_.setFleet(view.limitFleet);
  upstreams_.limits().setFleet(view.limitFleet);
  upstreams_.rejectionLimits().setFleet(view.limitFleet);
  originResolver_.setShards(view.archiveShards);
  if (admission_.enabled()) {
    admission_.noteReports({view.waiting, daemonCount_, view.reportLag});
  }
}

void TrafficEngine::noteSpentElsewhere(const OrganisationName& organisation, double amount) {
  quota_.noteSpentElsewhere(organisation, amount, clockNow());
}

void TrafficEngine::logQuarantine(const CrashHistory& history) {
  std::string upstreams;
  for (const UpstreamCrash& crash : history.crashes) {
    if (crash.refuted) continue;
    if (!upstreams.empty()) upstreams += ",";
    upstreams += crash.upstream.id.str();
  }
  LogLine(LogLevel::warning, "content.quarantined")
      .with("content", describe(history.content))
      .with("crashes", static_cast<std::uint64_t>(history.count()))
      .with("limit", static_cast<std::uint64_t>(crashes_.limit()))
      .with("upstreams", upstreams);
  metrics_.add("hallchute_contents_quarantined_total", "");
}

void TrafficEngine::mergeCrashes(std::span<const CrashHistory> histories) {
  for (const CrashHistory& history : crashes_.merge(histories, clockNow())) logQuarantine(history);
}

void TrafficEngine::noteCrash(const CrashSuspects& suspects, const UpstreamIncarnation& upstream) {
  for (const RequestFingerprint added : crashes_.noteCrash(suspects, upstream, clockNow())) {
    logQuarantine(*crashes_.quarantined(added));
  }
}

void TrafficEngine::noteAbandoned(const CrashSuspects& suspects,
                                  const UpstreamIncarnation& upstream) {
  abandoned_.note(suspects, upstream, clockNow());
}

void TrafficEngine::noteConnectionEnded(const UpstreamIncarnation& upstream) {
  noteAbandonedCrashes(abandoned_.noteConnectionEnded(upstream, clockNow()), upstream);
}

void TrafficEngine::noteProcessEnded(const UpstreamIncarnation& upstream) {
  const UpstreamEntry* entry = upstreams_.find(upstream.id);
  if (entry != nullptr && entry->leaving == upstream.incarnation) return;
  noteAbandonedCrashes(abandoned_.noteProcessEnded(upstream, clockNow()), upstream);
}

void TrafficEngine::noteAbandonedCrashes(const std::vector<CrashSuspects>& runs,
                                         const UpstreamIncarnation& upstream) {
  for (const CrashSuspects& suspects : runs) {
    LogLine(LogLevel::info, "upstream.endedAfterCancel")
        .with("upstream", upstream.id.str())
        .with("content", describe(suspects.content));
    noteCrash(suspects, upstream);
  }
}

void TrafficEngine::assist(std::uint64_t assist, ForwardedRequest request,
                           std::function<void(const ForwardedReply&)> reply) {
  const auto assisted =
      std::make_shared<AssistedDispatch>(*this, assist, std::move(request), std::move(reply));
  if (assisted->begin()) assists_[assist] = assisted;
}

bool TrafficEngine::mayAssist() const {
  const std::size_t connections = routes_ == nullptr ? 0 : routes_->settings().limits.connections;
  return assists_.size() < connections / kCallersPerAssist;
}

void TrafficEngine::cancelAssist(std::uint64_t assist) {
  const auto it = assists_.find(assist);
  if (it == assists_.end()) return;
  it->second->cancel();
  assists_.erase(it);
}

void TrafficEngine::endAssist(std::uint64_t assist) {
  const auto it = assists_.find(assist);
  if (it == assists_.end()) return;
  // The dispatch itself makes this call.
  loop_.post([ended = it->second] {});
  assists_.erase(it);
}

void TrafficEngine::refuse(FrontExchange& exchange, const ClientRequest& request, int status,
                           std::string_view reason, std::optional<Millis> retryAfter,
                           const CrashSuspects* suspects) {
  LogLine(LogLevel::info, "request.refused", LogPriority::outcome)
      .with("request", request.id.str())
      .with("content", suspects == nullptr ? std::string() : describe(suspects->content))
      .with("status", status)
      .with("reason", reason)
      .with("settings", routes_ == nullptr ? 0 : routes_->settings().version)
      .with("retryAfterMs", retryAfter.value_or(Millis(0)));
  metrics_.add("hallchute_requests_refused_total", "reason=\"" + std::string(reason) + "\"");
  HttpFields fields;
  if (retryAfter) fields.add("Retry-After", retryAfterText(*retryAfter));
  exchange.respond(status, fields, "");
}

void TrafficEngine::logQuotaShortage(const SessionAdmission& admission,
                                     const QuotaShortage& shortage) {
  LogLine(LogLevel::info, "request.overQuota")
      .with("request", admission.request.id.str())
      .with("route", admission.route->name)
      .with("organisation", admission.organisation->name.str())
      .with("asked", static_cast<std::uint64_t>(admission.quotaTaken))
      .with("needed", static_cast<std::uint64_t>(shortage.needed))
      .with("level", static_cast<std::int64_t>(shortage.level))
      .with("unheard", static_cast<std::uint64_t>(shortage.unreported))
      .with("heardPercent", static_cast<std::uint64_t>(quota_.fleet().liveFraction * kPercent))
      .with("meeting", quota_.fleet().discovering);
}

bool TrafficEngine::authorise(FrontExchange& exchange, const ClientRequest& request,
                              const Route& route, const GatewayOrganisation*& organisation) {
  const bool needsKey = !route.allowsAnonymous && !routes_->settings().organisations.empty();
  if (!needsKey) return true;
  organisation = routes_->organisationOf(request.key);
  if (organisation != nullptr) return true;
  if (settingsMayBeStale_) {
    refuse(exchange, request, 503, "settingsOld", kNoSettingsRetryAfter);
  } else {
    refuse(exchange, request, 401, "unknownKey", std::nullopt);
  }
  return false;
}

void TrafficEngine::refuseForMemory(const std::shared_ptr<FrontExchange>& exchange) {
  const ClientRequest request = codec_.readRequest(exchange->head());
  LogLine(LogLevel::info, "request.overMemory")
      .with("request", request.id.str())
      .with("held", memory_.held())
      .with("limit", memory_.limits().bytes)
      .with("limitOfLarge", memory_.limits().largeBytes);
  refuse(*exchange, request, 503, "memory", kMemoryRetryAfter);
}

void TrafficEngine::handle(const std::shared_ptr<FrontExchange>& exchange) {
  const Instant now = clockNow();
  const HttpHead& head = exchange->head();
  const ClientRequest request = codec_.readRequest(head);
  if (refusingNewRequests_) {
    refuse(*exchange, request, 503, "stopping", kOtherDaemonRetryAfter);
    return;
  }
  if (routes_ == nullptr) {
    refuse(*exchange, request, 503, "noSettings", kNoSettingsRetryAfter);
    return;
  }
  const Route* route = routes_->find(head.fields.get("Host"), head.target);
  if (route == nullptr) {
    if (settingsMayBeStale_) {
      refuse(*exchange, request, 503, "settingsOld", kNoSettingsRetryAfter);
    } else {
      refuse(*exchange, request, 404, "noRoute", std::nullopt);
    }
    return;
  }
  const GatewayOrganisation* organisation = nullptr;
  if (!authorise(*exchange, request, *route, organisation)) return;
  SessionAdmission admission{routes_, route, organisation, request, 0, {}};
  admission.suspects = suspectsOf(*exchange, admission);
  if (const CrashHistory* history = crashes_.quarantined(admission.suspects)) {
    admission.isCrashTrial = crashes_.takeTrial(admission.suspects, now);
    LogLine(LogLevel::info, "request.quarantined")
        .with("request", request.id.str())
        .with("content", describe(history->content))
        .with("crashes", static_cast<std::uint64_t>(history->count()))
        .with("tried", admission.isCrashTrial);
    if (!admission.isCrashTrial) {
      refuse(*exchange, request, 503, "crashesUpstreams", kQuarantineRetryAfter,
             &admission.suspects);
      return;
    }
  }
  if (organisation != nullptr) {
    const ServiceName& target = RouteTable::pickTarget(*route, request.firstAttempt().str());
    admission.quotaTaken = quotaAmount(*organisation, request, routes_->service(target));
    const double draw = hashFraction(request.id.str());
    const std::optional<QuotaShortage> shortage =
        quota_.take(*organisation, admission.quotaTaken, now, draw);
    if (shortage) {
      logQuotaShortage(admission, *shortage);
      refuse(*exchange, request, 429, "quota", shortage->retryDelay, &admission.suspects);
      return;
    }
  }
  const std::uint64_t id = nextSessionId_++;
  const auto session = std::make_shared<TrafficSession>(*this, id, exchange, std::move(admission));
  sessions_[id] = session;
  retryWindows_[session->service()].noteRequest(options_.retries, now);
  session->begin();
}

std::size_t TrafficEngine::connectionShare(const ServiceName& service) const {
  const GatewayService* found = routes_->service(service);
  const double all = found == nullptr ? 0 : found->maxConnections;
  const auto share = static_cast<std::size_t>(all * kAllocatedConnectionFraction /
                                              static_cast<double>(daemonCount_));
  return std::max(kMinConnections, share);
}

void TrafficEngine::excludeVersions(UpstreamCriteria& criteria, bool repeated) const {
  if (!versionShares_.enabled()) return;
  const Instant now = clockNow();
  const VersionChoice choice =
      versionShares_.choose({criteria.service, criteria.requestId, repeated}, now);
  choice.exclusion.apply(criteria);
  // The target's upstreams may be few, and full or ejected.
  if (choice.fallback && pickUpstream(upstreams_, criteria, now) == nullptr)
    choice.fallback->apply(criteria);
}

bool TrafficEngine::takeRetry(const ServiceName& service, std::string_view requestId) {
  RetryWindow& window = retryWindows_[service];
  const bool allowed = window.takeRetry(options_.retries, retrySlack_, clockNow());
  metrics_.add("hallchute_retries_total", "service=\"" + service.str() + "\",allowed=\"" +
                                              (allowed ? "true" : "false") + "\"");
  if (allowed) return true;
  LogLine(LogLevel::info, "request.retryDenied")
      .with("request", requestId)
      .with("service", service.str())
      .with("reason", "budget")
      .with("requests", static_cast<std::uint64_t>(window.requestCount()))
      .with("retries", static_cast<std::uint64_t>(window.retryCount()))
      .with("daemons", static_cast<std::uint64_t>(retrySlack_.sharers()));
  return false;
}

bool TrafficEngine::takeHedge(const ServiceName& service) {
  const bool allowed = retryWindows_[service].takeHedge(options_.retries, retrySlack_, clockNow());
  if (allowed) {
    metrics_.add("hallchute_retries_total", "service=\"" + service.str() + "\",allowed=\"true\"");
  }
  return allowed;
}

void TrafficEngine::refundQuota(const OrganisationName& organisation, double amount) {
  quota_.refund(organisation, amount);
}

void TrafficEngine::noteRun(const OrganisationName& organisation) {
  usage_.noteRun(organisation, wallClock(clockNow()));
}

void TrafficEngine::noteNamedLimits(const UpstreamIncarnation& upstream,
                                    const UpstreamResponse& answer) {
  const Instant now = clockNow();
  if (upstreams_.limits().noteAnswer(upstream, answer.requestLimit, now)) {
    logNamedLimit("requests", upstream, answer.id, answer.requestLimit);
  }
  std::optional<double> risked = answer.rejectionLimit;
  if (risked) *risked *= kRiskedRejectionFraction;
  if (upstreams_.noteRejectionLimit(upstream, risked, now)) {
    logNamedLimit("rejections", upstream, answer.id, answer.rejectionLimit);
  }
}

void TrafficEngine::logNamedLimit(std::string_view kind, const UpstreamIncarnation& upstream,
                                  const RequestId& request, std::optional<double> perSecond) {
  LogLine(LogLevel::info, "upstream.limit")
      .with("upstream", upstream.id.str())
      .with("request", request.str())
      .with("of", kind)
      .with("limited", perSecond.has_value())
      .with("ownShare", upstreams_.limits().share(upstream.id, clockNow()).value_or(0))
      .with("perMinute", static_cast<std::uint64_t>(perSecond.value_or(0) * kSecondsPerMinute));
  metrics_.add(
      "hallchute_upstream_limit_changes_total",
      "of=\"" + std::string(kind) + "\",limited=\"" + (perSecond ? "true" : "false") + "\"");
}

Millis TrafficEngine::wallClock(Instant now) const {
  return std::chrono::duration_cast<Millis>(now.time_since_epoch()) + clockOffset_;
}

void TrafficEngine::endSession(std::uint64_t session) {
  const auto it = sessions_.find(session);
  if (it == sessions_.end()) return;
  // The session itself makes this call, so its destruction is deferred until the call has returned.
  const std::shared_ptr<TrafficSession> ended = std::move(it->second);
  sessions_.erase(it);
  loop_.post([ended] {});
}

}  // namespace Hallchute
