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

/// \brief A daemon's copy of what the platform's store holds: the settings and the upstreams.
/// \ingroup Node
///
/// It comes from the daemon's own watches or from peers that watch, and only ever gets newer.
/// Control thread only, but for the followers' threads inside.
class StoreCopy {
 public:
  struct Callbacks {
    std::function<void(const GatewaySettings&)> onSettings;
    std::function<void(const std::vector<UpstreamRecord>&)> onUpstreams;
  };

  /// \param watchWait how long a watch may stay silent.
  StoreCopy(EventLoop& loop, NodePorts ports, Millis watchWait, Callbacks callbacks);
  StoreCopy(const StoreCopy&) = delete;
  StoreCopy& operator=(const StoreCopy&) = delete;

  void start();
  /// \brief Ends the followers; waits for their pending calls. Any thread but the loop's.
  void stop();
  /// \brief One turn: follows or rests as the fleet needs, asks a peer that is ahead.
  void turn(const FleetView& fleet, FleetLink& link, Instant now);
  void noteReport(const FleetReport& report, Instant now);
  /// \brief What a peer lacks of this copy.
  FleetSnapshot snapshot(const SnapshotAsk& ask) const;
  StoreState state() const;
  /// \brief How long ago the store last answered anybody this daemon hears of.
  Millis age(Instant now) const { return news_.age(state(), now); }
  /// \brief Whether newer settings may exist that this daemon can't hear of.
  bool mayBeStale(Instant now) const { return news_.mayBeStale(state(), now); }
  const std::vector<UpstreamRecord>& upstreams() const { return upstreams_.upstreams(); }

 private:
  void decodeSettings(const JsonObject& content, std::string_view source);
  void decodeUpstreams(const ObjectFollower::Objects& objects, std::uint64_t asOf);
  void takeSettings(const GatewaySettings& settings, const std::string& text);
  void noteStoreRecovery();
  void holdLapsed(Instant now);
  /// \param changed whether the upstreams did; the callback learns of them.
  void publishUpstreams(bool changed);
  void takeSnapshot(const FleetSnapshot& snapshot);

  EventLoop& loop_;
  NodePorts ports_;
  Callbacks callbacks_;
  StoreFreshness news_;
  std::uint64_t settingsVersion_ = 0;
  std::string settingsText_;
  UpstreamCopy upstreams_;
  ObjectFollower settingsFollower_;
  ObjectFollower upstreamFollower_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_STORECOPY_H
