// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_SLOTEXCHANGE_H
#define HALLCHUTE_TRAFFIC_SLOTEXCHANGE_H

#include <functional>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Gateway/SlotRequest.h"
#include "Hallchute/src/Traffic/HeldSlot.h"

namespace Hallchute {

/// \brief The reply to a request for a slot. \ingroup Traffic
struct SlotReply {
  SlotDecision decision;
  /// Null if none was granted.
  HeldSlotPtr slot;
  /// The daemon that was asked; empty if this one decided.
  DaemonId coordinator;
};

/// \brief Takes slots of upstreams from the daemons that coordinate them. Traffic thread only.
/// \ingroup Traffic
class SlotExchange {
 public:
  using ReplySink = std::function<void(const SlotReply& reply)>;

  SlotExchange() = default;
  SlotExchange(const SlotExchange&) = delete;
  SlotExchange& operator=(const SlotExchange&) = delete;
  virtual ~SlotExchange() = default;

  /// \brief Asks for a slot. \p onReply is called once from the loop.
  virtual void acquire(const SlotRequest& request, ReplySink onReply) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_SLOTEXCHANGE_H
