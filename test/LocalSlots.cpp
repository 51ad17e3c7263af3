// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "LocalSlots.h"

#include <memory>
#include <utility>

#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"

namespace Hallchute {

void LocalSlots::acquire(const SlotRequest& request, ReplySink onReply) {
  const SlotDecision decision = ledger_.acquire(request, clockNow());
  HeldSlotPtr slot;
  if (decision.granted()) {
    slot = std::make_shared<HeldSlot>([this, lease = decision.lease](SlotOutcome outcome) {
      ledger_.release(lease, outcome, clockNow());
    });
  }
  loop_.post([onReply = std::move(onReply), decision, slot] { onReply({decision, slot, {}}); });
}

}  // namespace Hallchute
