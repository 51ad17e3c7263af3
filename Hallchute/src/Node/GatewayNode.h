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
#include "Hallchute/src/Gateway/RequestMemory.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Node/DutyRunner.h"
#include "Hallchute/src/Node/FleetLink.h"
#include "Hallchute/src/Node/ForwardingLink.h"
#include "Hallchute/src/Node/NodePorts.h"
#include "Hallchute/src/Node/NodeStartup.h"
#include "Hallchute/src/Node/OriginLink.h"
#include "Hallchute/src/Node/PageHandlers.h"
#include "Hallchute/src/Node/RolloutRunner.h"
#include "Hallchute/src/Node/SlotLink.h"
#include "Hallchute/src/Node/StoreCopy.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Traffic/TrafficEngine.h"

namespace Hallchute {

class ArchiveReader;
class ArchiveWriter;

/// \brief A gateway daemon with all its components.
/// \ingroup Node
///
/// Threads: one for traffic, one for control state and peers, one per kind of objects watched in
/// the store, and one for the duties, whose calls block.
class GatewayNode {
 public:
  /// \param startupPath the start-up file, read again by reload().
  /// \throws Poco::Exception if an address of callers, readiness or peers can never be bound.
  GatewayNode(NodeStartup startup, NodePorts ports, std::string startupPath);
  ~GatewayNode();
  GatewayNode(const GatewayNode&) = delete;
  GatewayNode& operator=(const GatewayNode&) = delete;

  /// \brief Serves until a requested stop is complete. Other threads run until destruction, which
  /// waits for pending calls to the platform.
  void run();
  /// \brief Requests a graceful stop. Any thread.
  void stop();
  /// \brief Reads the start-up file again and adds its seeds. Any thread.
  void reload();

 private:
  /// State that the traffic thread passes to the control thread in each report period.
  struct LocalReport {
    SpentQuota spent;
    UpstreamLoads loads;
    WaitingLoads waiting;
    UsageByWindow usage;
    std::vector<UpstreamIncarnation> draining;
    /// What to report to other daemons, and what to keep in the store.
    std::vector<CrashHistory> crashes;
    std::vector<CrashHistory> crashHistories;
    std::vector<NamedLimit> limits;
    std::vector<NamedLimit> rejectionLimits;
    std::vector<ServiceName> lostPaths;
    std::vector<ServiceLimit> serviceLimits;
    std::vector<RolloutStage> rollouts;
    VersionEvidences evidence;
  };

  /// Without metrics the daemon still serves.
  void serveMetrics();
  TrafficOptions trafficOptions() const;
  void startDuties();
  void startRollouts();
  void mergeStages(std::vector<RolloutStage> stages);
  RolloutView rolloutView(Instant now) const;
  /// \p limits with as many connections as there are descriptors for.
  FrontLimits callerLimits(FrontLimits limits) const;
  FrontLimits pageLimits() const;
  std::size_t memory() const;
  std::size_t receiveBuffer() const;
  RequestMemoryLimits requestMemoryLimits(const FrontLimits& limits) const;
  void reportMemory();
  void applySettings(const GatewaySettings& settings);
  /// The holder of the duties with the highest epoch in any report.
  DutyHolder latestHolder(Instant now) const;
  DutyInput dutyInput();
  void collectLocalReport();
  void sendFleetReport(const LocalReport& local);
  void noteEarlierSize(std::size_t daemons);
  void mergeCrashes(std::vector<CrashHistory> histories);
  void startArchive();
  bool servedBefore() const;
  void noteEarlierLimits(std::vector<ServiceLimit> limits);
  void mergeLimits(const FleetReport& report);
  std::size_t crashLimit(Instant now) const;
  ForwardingLink::Callbacks forwardingCallbacks();
  OriginLink::Callbacks originCallbacks();
  void updateTraffic(Instant now);
  void logClockOffset(Millis hostClock, Instant now);
  void logFleetState(const FleetTrafficView& trafficView, Instant now);
  void handleReport(const FleetReport& report);
  void pollStop(Instant began);
  void reportDelays(EventLoop& loop, std::string_view name);

  NodeStartup startup_;
  NodePorts ports_;
  std::string startupPath_;
  FleetMember self_;
  Metrics metrics_;
  EventLoop trafficLoop_;
  EventLoop controlLoop_;

  // Traffic thread.
  RequestMemory requestMemory_;
  TrafficEngine engine_;
  ReadinessHandler readiness_;
  MetricsHandler metricsPage_;
  FrontServer callerServer_;
  FrontServer readinessServer_;
  std::optional<FrontServer> metricsServer_;

  // Control thread.
  FleetView fleet_;
  StoreCopy storeCopy_;
  FleetLink link_;
  ForwardingLink forwarding_;
  OriginLink originLink_;
  SlotLink slotLink_;
  std::vector<GatewayService> services_;
  double quotaTokens_ = 0;
  LocalReport localReport_;
  bool leaving_ = false;
  /// Whether this daemon passes on what others report of crashes and limits; see
  /// FleetView::forwards().
  std::atomic<bool> forwards_{true};
  std::size_t loggedHeard_ = 0;
  std::size_t loggedKnown_ = 0;
  DaemonId loggedRelay_;
  Instant fleetLogged_{};
  Millis loggedClockAhead_{0};

  /// Null unless this daemon takes part in rollouts.
  std::unique_ptr<RolloutRunner> rollouts_;
  std::unique_ptr<DutyRunner> duties_;
  /// Null where the platform keeps no archive.
  std::unique_ptr<ArchiveReader> archiveReader_;
  std::unique_ptr<ArchiveWriter> archiveWriter_;
  std::thread controlThread_;
  std::atomic<bool> stopRequested_{false};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_GATEWAYNODE_H
