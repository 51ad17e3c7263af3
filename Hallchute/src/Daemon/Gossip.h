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

/// \brief Carries out what Membership decides: sends probes, answers them. Loop thread only.
/// \ingroup Daemon
class Gossip {
 public:
  /// \brief Told the actions that are not probes.
  using Sink = std::function<void(const MembershipAction&)>;

  Gossip(EventLoop& loop, PeerTransport& transport, Membership& membership, Sink sink);

  /// \brief Starts to tick.
  void start();
  /// \brief Whether a peer has acknowledged a batch that told of this leave.
  bool isLeaveAcknowledged(const UpstreamId& upstream) const { return spread_.contains(upstream); }
  void perform(const std::vector<MembershipAction>& actions);

 private:
  void sendProbe(const SendProbe& probe);
  void serve(const PeerStreamPtr& stream);

  EventLoop& loop_;
  PeerTransport& transport_;
  Membership& membership_;
  Sink sink_;
  std::set<UpstreamId> spread_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_GOSSIP_H
