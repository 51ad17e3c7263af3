// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_TRAFFICENGINE_H
#define HALLCHUTE_TRAFFIC_TRAFFICENGINE_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>

#include "Hallchute/src/Front/FrontHandler.h"
#include "Hallchute/src/Gateway/QuotaFleet.h"
#include "Hallchute/src/Gateway/QuotaLedger.h"
#include "Hallchute/src/Gateway/RetryWindow.h"
#include "Hallchute/src/Gateway/RouteTable.h"
#include "Hallchute/src/Gateway/UpstreamTable.h"
#include "Hallchute/src/Gateway/UsageLedger.h"
#include "Hallchute/src/Traffic/TrafficOptions.h"
#include "Hallchute/src/Upstream/UpstreamPool.h"

namespace Hallchute {

class EventLoop;
class Metrics;
class TrafficCodec;
class TrafficSession;
struct SessionAdmission;
struct ClientRequest;
struct HttpHead;
struct UpstreamCriteria;

/// \brief What the other daemons told, as far as traffic needs it. \ingroup Traffic
struct FleetTrafficView {
  /// Daemons that are likely to run, heard or not, this one included.
  std::size_t known = 1;
  UpstreamLoads loads;
  QuotaFleet quota;
  /// How far the wall clock that the daemons share is ahead of this host's monotonic one.
  Millis clockOffset{0};
};

/// \brief Admits callers' requests and runs a session for each. Traffic thread only.
/// \ingroup Traffic
class TrafficEngine final : public FrontHandler {
 public:
  TrafficEngine(EventLoop& loop, TrafficOptions options, const TrafficCodec& codec,
                Metrics& metrics);
  ~TrafficEngine() override;

  void handle(const std::shared_ptr<FrontExchange>& exchange) override;

  /// \brief Puts settings in force; older ones than those in force are ignored.
  void setSettings(std::shared_ptr<const RouteTable> routes);
  void setUpstreams(std::span<const UpstreamRecord> records);
  void noteDraining(const UpstreamIncarnation& upstream);
  /// \brief Whether newer settings may exist that this daemon can't hear of.
  void setSettingsMayBeStale(bool old) { settingsMayBeOld_ = old; }
  /// \brief From now on new requests are refused: they could not end before the daemon does.
  void refuseNewRequests() { refusing_ = true; }
  void setFleet(const FleetTrafficView& told);
  void noteSpentElsewhere(const OrganisationName& organisation, double amount);
  /// \brief Whether requests can be served.
  bool ready() const { return routes_ != nullptr && !upstreams_.entries().empty(); }
  std::size_t sessions() const { return sessions_.size(); }
  /// \brief Time since the start of 1970 by the clock that the daemons share.
  Millis wallClock(Instant now) const;
  const UsageLedger& usage() const { return usage_; }
  UsageLedger& usage() { return usage_; }
  const QuotaLedger& quota() const { return quota_; }
  const UpstreamTable& upstreams() const { return upstreams_; }

  // For TrafficSession.
  EventLoop& loop() { return loop_; }
  const TrafficCodec& codec() const { return codec_; }
  const TrafficOptions& options() const { return options_; }
  Metrics& metrics() { return metrics_; }
  UpstreamPool& pool() { return pool_; }
  UpstreamTable& table() { return upstreams_; }
  /// \brief Connections that this daemon may open to one upstream of \p service.
  std::size_t connectionShare(const ServiceName& service) const;
  bool takeRepeat(const ServiceName& service, Instant now);
  void giveBackQuota(const OrganisationName& organisation, double amount);
  void noteRun(const OrganisationName& organisation);
  void endSession(std::uint64_t session);

 private:
  void refuse(FrontExchange& exchange, const ClientRequest& request, int status,
              std::string_view reason, std::optional<Millis> retryAfter);
  /// What decided a refusal above a quota: its line precedes that of the refusal.
  void logShortage(const SessionAdmission& admission, const QuotaShortage& shortage);
  /// \returns whether the request may go on; \p organisation stays null on open routes.
  bool authorise(FrontExchange& exchange, const ClientRequest& request, const Route& route,
                 const GatewayOrganisation*& organisation);
  void sweep();

  EventLoop& loop_;
  TrafficOptions options_;
  const TrafficCodec& codec_;
  Metrics& metrics_;
  UpstreamPool pool_;
  UpstreamTable upstreams_;
  std::shared_ptr<const RouteTable> routes_;
  QuotaLedger quota_;
  UsageLedger usage_;
  std::map<ServiceName, RetryWindow> retries_;
  std::unordered_map<std::uint64_t, std::shared_ptr<TrafficSession>> sessions_;
  std::uint64_t nextSession_ = 1;
  std::size_t daemons_ = 1;
  Millis clockOffset_{0};
  bool settingsMayBeOld_ = false;
  bool refusing_ = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_TRAFFICENGINE_H
