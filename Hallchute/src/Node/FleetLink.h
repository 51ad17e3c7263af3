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
class Metrics;

/// \brief Exchanges reports and snapshots with other daemons. Control thread only.
/// \ingroup Node
///
/// One stream per peer and direction is kept open for reports.
class FleetLink {
 public:
  struct Callbacks {
    std::function<void(const FleetReport&)> onReport;
    /// Returns the response to a peer's request for a snapshot.
    std::function<FleetSnapshot(const SnapshotRequest&)> snapshot;
  };

  /// \param fleet a name shared by all daemons of a deployment; peers with another one are
  /// rejected.
  FleetLink(EventLoop& loop, const std::string& listen, const std::string& fleet,
            Callbacks callbacks, Metrics& metrics);
  ~FleetLink();
  FleetLink(const FleetLink&) = delete;
  FleetLink& operator=(const FleetLink&) = delete;

  PeerTransport& transport() { return transport_; }
  /// \brief Sends each report to its address; streams to other addresses are closed.
  void sendReports(const std::vector<AddressedReport>& reports);
  /// \brief Requests from a peer what is newer than the versions in \p request; \p onSnapshot isn't
  /// called if the peer can't be reached.
  void requestSnapshot(const std::string& address, const SnapshotRequest& request,
                       std::function<void(const FleetSnapshot&)> onSnapshot);

 private:
  Callbacks callbacks_;
  PeerTransport transport_;
  std::map<std::string, PeerStreamPtr> streams_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_FLEETLINK_H
