// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_GATEWAYNODE_H
#define HALLCHUTE_NODE_GATEWAYNODE_H

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Hallchute/src/Front/FrontServer.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Node/DutyRunner.h"
#include "Hallchute/src/Node/FleetLink.h"
#include "Hallchute/src/Node/NodePorts.h"
#include "Hallchute/src/Node/NodeStartup.h"
#include "Hallchute/src/Node/PageHandlers.h"
#include "Hallchute/src/Node/StoreCopy.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Traffic/TrafficEngine.h"

namespace Hallchute {

/// \brief One gateway daemon with all its parts.
/// \ingroup Node
///
/// Threads: one for traffic, one for control state and peers, one a followed kind of objects, and
/// one for the duties' calls.
class GatewayNode {
 public:
  /// \param startupPath read again by reload().
  /// \throws Poco::Exception if an address can't be bound.
  GatewayNode(NodeStartup startup, NodePorts ports, std::string startupPath);
  ~GatewayNode();
  GatewayNode(const GatewayNode&) = delete;
  GatewayNode& operator=(const GatewayNode&) = delete;

  /// \brief Serves until a stop was asked for and done. Other threads run on until destruction,
  /// which waits for pending calls of the platform.
  void run();
  /// \brief Asks for a planned stop. Any thread.
  void stop();
  /// \brief Reads the start-up file again. Any thread.
  void reload();

 private:
  /// What the traffic thread tells the control thread at each turn.
  struct LocalReport {
    SpentQuota spent;
    UpstreamLoads loads;
    UsageByWindow usage;
    std::vector<UpstreamIncarnation> draining;
  };

  TrafficOptions trafficOptions() const;
  void startDuties();
  void applySettings(const GatewaySettings& settings);
  /// The holder of the duties by all that is heard.
  DutyHolder namedHolder(Instant now) const;
  DutyInput dutyInput();
  void reportLocally();
  void reportToFleet(const LocalReport& local);
  void noteEarlierSize(std::size_t daemons);
  void tellTraffic(Instant now);
  void logClock(Millis hostClock, Instant now);
  void logFleet(const FleetTrafficView& told, Instant now);
  void takeReport(const FleetReport& report);
  void stopTurn(Instant began);

  NodeStartup startup_;
  NodePorts ports_;
  std::string startupPath_;
  FleetMember self_;
  Metrics metrics_;
  EventLoop trafficLoop_;
  EventLoop controlLoop_;

  // Traffic thread.
  TrafficEngine engine_;
  ReadinessHandler readiness_;
  MetricsHandler metricsPage_;
  FrontServer callers_;
  FrontServer readinessServer_;
  std::optional<FrontServer> metricsServer_;

  // Control thread.
  FleetView fleet_;
  StoreCopy copy_;
  FleetLink link_;
  std::vector<GatewayService> services_;
  double quotaTokens_ = 0;
  LocalReport local_;
  bool leaving_ = false;
  std::size_t loggedHeard_ = 0;
  std::size_t loggedKnown_ = 0;
  DaemonId loggedRelay_;
  Instant fleetLogged_{};
  Millis loggedClockAhead_{0};

  std::unique_ptr<DutyRunner> duties_;
  std::thread controlThread_;
  std::atomic<bool> stopAsked_{false};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_GATEWAYNODE_H
