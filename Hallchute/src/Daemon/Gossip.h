// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_GOSSIP_H
#define HALLCHUTE_DAEMON_GOSSIP_H

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "Hallchute/src/Membership/MembershipAction.h"
#include "Hallchute/src/Net/PeerStream.h"

namespace Hallchute {

class EventLoop;
class Membership;
class PeerTransport;

/// \brief Executes the actions of Membership: sends probes and answers them. Loop thread only.
/// \ingroup Daemon
class Gossip {
 public:
  /// \brief Receives the actions other than probes.
  using ActionHandler = std::function<void(const MembershipAction&)>;

  Gossip(EventLoop& loop, PeerTransport& transport, Membership& membership, ActionHandler onAction);

  /// \brief Starts the periodic ticks of Membership.
  void start();
  /// \brief Whether a peer has acknowledged a message that announced the leave of \p upstream.
  bool isLeaveAcknowledged(const UpstreamId& upstream) const {
    return acknowledgedLeaves_.contains(upstream);
  }
  void perform(const std::vector<MembershipAction>& actions);

 private:
  void sendProbe(const SendProbe& probe);
  void serve(const PeerStreamPtr& stream);

  EventLoop& loop_;
  PeerTransport& transport_;
  Membership& membership_;
  ActionHandler onAction_;
  std::set<UpstreamId> acknowledgedLeaves_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_GOSSIP_H
