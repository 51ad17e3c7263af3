// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_SLOTLINK_H
#define HALLCHUTE_NODE_SLOTLINK_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Gateway/SlotLedger.h"
#include "Hallchute/src/Net/PeerStream.h"
#include "Hallchute/src/Traffic/SlotExchange.h"

namespace Hallchute {

class EventLoop;
class PeerTransport;

/// \brief Carries requests for slots to the upstreams' coordinators, and keeps the slots that this
/// daemon coordinates. \ingroup Node
///
/// Each slot has a stream between its holder and its coordinator, open for as long as it is held:
/// if the holder's process ends, its coordinator notices. Streams and the ledger belong to the
/// control thread, callers to the traffic thread.
class SlotLink final : public SlotExchange {
 public:
  /// Control thread: the daemon that coordinates an upstream; nothing if this one does.
  using Coordinator = std::function<std::optional<FleetMember>(const UpstreamId&)>;

  SlotLink(EventLoop& traffic, EventLoop& control, PeerTransport& transport,
           Coordinator coordinator);

  void acquire(const SlotRequest& request, ReplySink onReply) override;
  /// \brief Control thread: sets what is known of the fleet; see SlotLedger::setFleet().
  void setFleet(double liveFraction, const DaemonId& self, Instant now);

 private:
  /// A request for a slot of another daemon's.
  struct Question {
    DaemonId coordinator;
    PeerStreamPtr stream;
    ReplySink onReply;
    std::uint64_t timer = 0;
  };
  /// Another daemon's request, and the slot that was granted.
  struct Served {
    std::weak_ptr<PeerStream> stream;
    SlotLease lease;
  };

  void decide(const SlotRequest& request, const ReplySink& onReply);
  void ask(const FleetMember& coordinator, const SlotRequest& request, ReplySink onReply);
  void receiveReply(std::uint64_t question, std::string_view message);
  void finish(std::uint64_t question, const SlotDecision& decision);
  void reply(const ReplySink& onReply, const SlotDecision& decision, const DaemonId& coordinator,
             HeldSlot::Release release);
  void serve(const PeerStreamPtr& stream);
  void receive(std::uint64_t served, std::string_view message);
  void grant(std::uint64_t served, std::string_view message);
  void end(std::uint64_t served, SlotOutcome outcome);

  EventLoop& traffic_;
  EventLoop& control_;
  PeerTransport& transport_;
  Coordinator coordinator_;

  // Control thread.
  SlotLedger ledger_;
  std::map<std::uint64_t, Question> questions_;
  std::map<std::uint64_t, Served> served_;
  std::uint64_t nextId_ = 1;
  /// Coordinators that did not answer, and until when they are not asked.
  std::map<DaemonId, Instant> unresponsive_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_SLOTLINK_H
