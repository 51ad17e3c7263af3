// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_TRAFFICENGINE_H
#define HALLCHUTE_TRAFFIC_TRAFFICENGINE_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Hallchute/src/Front/FrontHandler.h"
#include "Hallchute/src/Gateway/AbandonedRuns.h"
#include "Hallchute/src/Gateway/CrashLedger.h"
#include "Hallchute/src/Gateway/HedgePolicy.h"
#include "Hallchute/src/Gateway/QuotaFleet.h"
#include "Hallchute/src/Gateway/QuotaLedger.h"
#include "Hallchute/src/Gateway/RetrySlack.h"
#include "Hallchute/src/Gateway/RetryWindow.h"
#include "Hallchute/src/Gateway/RouteTable.h"
#include "Hallchute/src/Gateway/StreamOrigins.h"
#include "Hallchute/src/Gateway/UpstreamTable.h"
#include "Hallchute/src/Gateway/UsageLedger.h"
#include "Hallchute/src/Gateway/VersionShares.h"
#include "Hallchute/src/Traffic/AdmissionGate.h"
#include "Hallchute/src/Traffic/ForwardedReply.h"
#include "Hallchute/src/Traffic/OriginResolver.h"
#include "Hallchute/src/Traffic/PathProber.h"
#include "Hallchute/src/Traffic/TrafficOptions.h"
#include "Hallchute/src/Traffic/UpstreamSelector.h"
#include "Hallchute/src/Upstream/UpstreamPool.h"

namespace Hallchute {

class AssistedDispatch;
class EventLoop;
class Metrics;
class OriginArchive;
class OriginExchange;
class RequestForwarder;
class RequestMemory;
class SlotExchange;
class TrafficCodec;
class TrafficSession;
struct ForwardedRequest;
struct CrashSuspects;
struct SessionAdmission;
struct ClientRequest;
struct UpstreamResponse;
struct HttpHead;
struct UpstreamCriteria;

/// \brief State of the fleet that the traffic thread needs, from the reports of other daemons.
/// \ingroup Traffic
struct FleetTrafficView {
  /// Estimated number of running daemons, including this one and those without a recent report.
  std::size_t expectedDaemons = 1;
  UpstreamLoads loads;
  QuotaFleet quota;
  /// Offset of the fleet's shared wall clock from this host's monotonic clock.
  Millis clockOffset{0};
  /// Upstream crashes after which a request's content is quarantined; see CrashLedger.
  std::size_t crashLimit = CrashLedger::kMaxCrashes;
  /// The daemons that divide the limits which upstreams name.
  LimitFleet limitFleet{};
  /// The streams that this daemon archives.
  ArchiveShards archiveShards{};
  /// Number of daemons that share the slack of the retry budget; 0 if this one has no share yet, or
  /// no more.
  std::size_t retrySharers = 0;
  /// Requests that wait for admission at other daemons.
  WaitingLoads waiting{};
  /// Time for a report to reach all other daemons.
  Millis reportLag{0};
  /// Age of the oldest report among the loads.
  Millis loadsAge{0};
};

/// \brief Admits callers' requests and runs a session for each. Used on the traffic thread only.
/// \ingroup Traffic
class TrafficEngine final : public FrontHandler {
 public:
  /// \param memory bounds what is held of requests.
  TrafficEngine(EventLoop& loop, TrafficOptions options, const TrafficCodec& codec,
                Metrics& metrics, RequestMemory& memory);
  ~TrafficEngine() override;

  void handle(const std::shared_ptr<FrontExchange>& exchange) override;
  void refuseForMemory(const std::shared_ptr<FrontExchange>& exchange) override;

  /// \brief Applies settings, unless the active ones have the same or a newer version.
  void setSettings(std::shared_ptr<const RouteTable> routes);
  void setUpstreams(std::span<const UpstreamRecord> records);
  void noteDraining(const UpstreamIncarnation& upstream);
  /// \brief Records that an upstream says in an answer that it is leaving.
  void noteDrainingAnswer(const UpstreamIncarnation& upstream);
  /// \brief Sets whether newer settings may exist that this daemon cannot receive. While it is set,
  /// unknown routes and keys are refused with 503 instead of 404 and 401.
  void setSettingsMayBeStale(bool old) { settingsMayBeStale_ = old; }
  /// \brief Refuses all new requests from now on: they could not complete before the daemon stops.
  void refuseNewRequests() { refusingNewRequests_ = true; }
  /// \brief Refuses requests that wait for admission: the daemon stops, others can serve them.
  void refuseWaitingRequests() { admission_.stop(); }
  bool refusesNewRequests() const { return refusingNewRequests_; }
  /// \brief Sets how requests reach upstreams that this daemon can't; null, or must outlive this.
  void setForwarder(RequestForwarder* forwarder) { forwarder_ = forwarder; }
  RequestForwarder* forwarder() const { return forwarder_; }
  /// \brief Sets how daemons tell each other of streams; null, or must outlive this.
  void setOriginExchange(OriginExchange* exchange) {
    originExchange_ = exchange;
    originResolver_.setExchange(exchange);
  }
  /// \brief Sets the archive of streams; null, or must outlive this.
  void setOriginArchive(OriginArchive* archive) { originResolver_.setArchive(archive); }
  OriginResolver& originResolver() { return originResolver_; }
  /// \brief The streams that callers may take up and that this daemon archives, the newest first.
  std::vector<StreamOrigin> streamsToArchive() const;
  /// \brief Sets how slots of upstreams are taken; null, or must outlive this.
  void setSlotExchange(SlotExchange* exchange) { selector_.setExchange(exchange); }
  /// \brief Sets the predicate that tells whether requests of a service wait to be dispatched;
  /// empty: none do.
  void setRequestsWait(std::function<bool(const ServiceName&)> waits) {
    requestsWait_ = std::move(waits);
  }
  bool requestsWait(const ServiceName& service) const {
    return requestsWait_ && requestsWait_(service);
  }
  /// \brief Makes a dispatch for another daemon. \param assist a number for cancelAssist().
  void assist(std::uint64_t assist, ForwardedRequest request,
              std::function<void(const ForwardedReply&)> reply);
  /// \brief Whether there is room for one more dispatch for another daemon.
  bool mayAssist() const;
  /// \brief Ends a dispatch for another daemon; does nothing if it has ended.
  void cancelAssist(std::uint64_t assist);
  /// \brief Called by a dispatch for another daemon when it has ended.
  void endAssist(std::uint64_t assist);
  void setFleet(const FleetTrafficView& view);
  void noteSpentElsewhere(const OrganisationName& organisation, double amount);
  /// \brief Adds crash histories of other daemons, or of the fleet before this daemon started.
  void mergeCrashes(std::span<const CrashHistory> histories);
  /// \brief Whether requests can be served.
  bool ready() const { return routes_ != nullptr && !upstreams_.entries().empty(); }
  /// \brief Requests in progress, those for other daemons included.
  std::size_t sessions() const { return sessions_.size() + assists_.size(); }
  /// \brief Time since the Unix epoch on the fleet's shared clock.
  Millis wallClock(Instant now) const;
  const UsageLedger& usage() const { return usage_; }
  UsageLedger& usage() { return usage_; }
  const QuotaLedger& quota() const { return quota_; }
  const UpstreamTable& upstreams() const { return upstreams_; }
  CrashLedger& crashes() { return crashes_; }
  StreamOrigins& origins() { return origins_; }
  VersionShares& versionShares() { return versionShares_; }
  const PathMonitor& paths() const { return prober_.paths(); }

  // For TrafficSession.
  EventLoop& loop() { return loop_; }
  const TrafficCodec& codec() const { return codec_; }
  const TrafficOptions& options() const { return options_; }
  Metrics& metrics() { return metrics_; }
  RequestMemory& memory() { return memory_; }
  UpstreamPool& pool() { return pool_; }
  UpstreamTable& upstreamTable() { return upstreams_; }
  UpstreamSelector& selector() { return selector_; }
  AdmissionGate& admission() { return admission_; }
  /// \brief Connections that this daemon may open to one upstream of \p service.
  std::size_t connectionShare(const ServiceName& service) const;
  bool takeRetry(const ServiceName& service, std::string_view requestId);
  HedgePolicy& hedges() { return hedges_; }
  /// \brief Takes a hedge from the service's retry budget. \returns whether there was one.
  bool takeHedge(const ServiceName& service);
  /// \brief Draws the software version that may run a request, by the rollouts in force.
  /// \param repeated whether the request has been dispatched before.
  void excludeVersions(UpstreamCriteria& criteria, bool repeated) const;
  void refundQuota(const OrganisationName& organisation, double amount);
  void noteRun(const OrganisationName& organisation);
  /// \brief Records that a stream began at an upstream, and reports it.
  void noteStreamBegan(const StreamOrigin& origin, const UpstreamId& upstream);
  /// \brief Records the origin of a stream that a caller takes up here, and reports it.
  void noteStreamContinued(const StreamOrigin& origin);
  /// \brief Records the limits that an answer names, or that it names none.
  void noteNamedLimits(const UpstreamIncarnation& upstream, const UpstreamResponse& answer);
  void noteCrash(const CrashSuspects& suspects, const UpstreamIncarnation& upstream);
  /// \brief Records that this daemon cancelled a run that had reached its upstream.
  void noteAbandoned(const CrashSuspects& suspects, const UpstreamIncarnation& upstream);
  /// \brief Records that an upstream ended a connection with a request on it.
  void noteConnectionEnded(const UpstreamIncarnation& upstream);
  /// \brief Records that an upstream's process ended, which is no crash if it was leaving.
  void noteProcessEnded(const UpstreamIncarnation& upstream);
  void endSession(std::uint64_t session);

 private:
  /// Only for requests that were never dispatched. \param suspects null if they aren't known yet.
  void refuse(FrontExchange& exchange, const ClientRequest& request, int status,
              std::string_view reason, std::optional<Millis> retryAfter,
              const CrashSuspects* suspects = nullptr);
  /// Logs the quota state behind a refusal, immediately before the refusal itself is logged.
  void logQuotaShortage(const SessionAdmission& admission, const QuotaShortage& shortage);
  void logNamedLimit(std::string_view kind, const UpstreamIncarnation& upstream,
                     const RequestId& request, std::optional<double> perSecond);
  void logQuarantine(const CrashHistory& history);
  void noteAbandonedCrashes(const std::vector<CrashSuspects>& runs,
                            const UpstreamIncarnation& upstream);
  /// Refuses the request if it needs a valid key and has none.
  /// \returns whether the request is authorised; \p organisation stays null on open routes.
  bool authorise(FrontExchange& exchange, const ClientRequest& request, const Route& route,
                 const GatewayOrganisation*& organisation);
  void sweep();
  void noteReplacedProcesses(std::span<const UpstreamRecord> records, Instant now);
  void reportStreams(std::vector<StreamOrigin> origins);

  EventLoop& loop_;
  TrafficOptions options_;
  const TrafficCodec& codec_;
  Metrics& metrics_;
  RequestMemory& memory_;
  UpstreamTable upstreams_;
  UpstreamSelector selector_;
  AdmissionGate admission_;
  PathProber prober_;
  UpstreamPool pool_;
  std::shared_ptr<const RouteTable> routes_;
  QuotaLedger quota_;
  UsageLedger usage_;
  CrashLedger crashes_;
  AbandonedRuns abandoned_;
  VersionShares versionShares_;
  std::map<ServiceName, RetryWindow> retryWindows_;
  RetrySlack retrySlack_;
  HedgePolicy hedges_;
  std::function<bool(const ServiceName&)> requestsWait_;
  std::unordered_map<std::uint64_t, std::shared_ptr<TrafficSession>> sessions_;
  std::uint64_t nextSessionId_ = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<AssistedDispatch>> assists_;
  StreamOrigins origins_;
  OriginResolver originResolver_{origins_};
  /// Origins to report once the delay of a batch has passed.
  std::vector<StreamOrigin> unreportedOrigins_;
  OriginExchange* originExchange_ = nullptr;
  RequestForwarder* forwarder_ = nullptr;
  std::size_t daemonCount_ = 1;
  Millis clockOffset_{0};
  bool settingsMayBeStale_ = false;
  bool refusingNewRequests_ = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_TRAFFICENGINE_H
