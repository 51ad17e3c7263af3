// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_STORECOPY_H
#define HALLCHUTE_NODE_STORECOPY_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/StoreFreshness.h"
#include "Hallchute/src/Fleet/UpstreamCopy.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"
#include "Hallchute/src/Node/FleetSnapshot.h"
#include "Hallchute/src/Node/NodePorts.h"
#include "Hallchute/src/Node/ObjectFollower.h"

namespace Hallchute {

class EventLoop;
class FleetLink;
class FleetView;
class Metrics;

/// \brief A daemon's copy of the settings and the upstreams in the platform's store.
/// \ingroup Node
///
/// Updated by the daemon's own watches or by peers that watch; versions never go back. Control
/// thread only, except for the followers' internal threads.
class StoreCopy {
 public:
  struct Callbacks {
    std::function<void(const GatewaySettings&)> onSettings;
    std::function<void(const std::vector<UpstreamRecord>&)> onUpstreams;
  };

  /// \param watchTimeout how long a watch may return nothing.
  StoreCopy(EventLoop& loop, NodePorts ports, Millis watchTimeout, Callbacks callbacks,
            Metrics& metrics);
  StoreCopy(const StoreCopy&) = delete;
  StoreCopy& operator=(const StoreCopy&) = delete;

  void start();
  /// \brief Stops the followers after their pending calls. Any thread except the loop's.
  void stop();
  /// \brief To be called periodically: sets the followers' mode and requests a snapshot from a peer
  /// that has a newer version.
  void tick(const FleetView& fleet, FleetLink& link, Instant now);
  void noteReport(const FleetReport& report, Instant now);
  /// \brief The parts of this copy that are newer than a peer's versions.
  FleetSnapshot snapshot(const SnapshotRequest& request) const;
  StoreState state() const;
  /// \brief Time since the store last responded to this daemon or to one that it has reports of.
  Millis age(Instant now) const { return freshness_.age(state(), now); }
  /// \brief Whether newer settings may exist that can't reach this daemon.
  bool mayBeStale(Instant now) const { return freshness_.mayBeStale(state(), now); }
  const std::vector<UpstreamRecord>& upstreams() const { return upstreams_.upstreams(); }

 private:
  void decodeSettings(const JsonObject& content, std::string_view source);
  void decodeUpstreams(const ObjectFollower::Objects& objects, std::uint64_t asOf);
  void applySettings(const GatewaySettings& settings, const std::string& text);
  void handleStoreRecovery();
  void countFailedCall(std::string_view followed, const absl::Status& status);
  void retainLapsed(Instant now);
  /// Calls onUpstreams() if \p changed.
  void publishUpstreams(bool changed);
  void applySnapshot(const FleetSnapshot& snapshot);

  EventLoop& loop_;
  NodePorts ports_;
  Callbacks callbacks_;
  Metrics& metrics_;
  StoreFreshness freshness_;
  std::uint64_t settingsVersion_ = 0;
  std::string settingsText_;
  UpstreamCopy upstreams_;
  ObjectFollower settingsFollower_;
  ObjectFollower upstreamFollower_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_STORECOPY_H
