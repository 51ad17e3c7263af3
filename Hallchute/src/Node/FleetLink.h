// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_FLEETLINK_H
#define HALLCHUTE_NODE_FLEETLINK_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Hallchute/src/Fleet/FleetView.h"
#include "Hallchute/src/Net/PeerTransport.h"
#include "Hallchute/src/Node/FleetSnapshot.h"

namespace Hallchute {

class EventLoop;

/// \brief Carries reports and snapshots between daemons. Control thread only.
/// \ingroup Node
///
/// One stream a peer and direction stays open; reports are pushed on it.
class FleetLink {
 public:
  struct Callbacks {
    std::function<void(const FleetReport&)> onReport;
    /// What this daemon tells a peer that asks.
    std::function<FleetSnapshot(const SnapshotAsk&)> snapshot;
  };

  /// \param fleet a word that all daemons of a deployment share: others are turned away.
  FleetLink(EventLoop& loop, const std::string& listen, const std::string& fleet,
            Callbacks callbacks);
  ~FleetLink();
  FleetLink(const FleetLink&) = delete;
  FleetLink& operator=(const FleetLink&) = delete;

  /// \brief Pushes each report to its address; streams to others are closed.
  void push(const std::vector<AddressedReport>& reports);
  /// \brief Asks a peer for what it has beyond \p ask; nothing comes if it can't be reached.
  void askSnapshot(const std::string& address, const SnapshotAsk& ask,
                   std::function<void(const FleetSnapshot&)> onSnapshot);

 private:
  Callbacks callbacks_;
  PeerTransport transport_;
  std::map<std::string, PeerStreamPtr> streams_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_FLEETLINK_H
