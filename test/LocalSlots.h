// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_LOCALSLOTS_H
#define HALLCHUTE_TEST_LOCALSLOTS_H

#include "Hallchute/src/Gateway/SlotLedger.h"
#include "Hallchute/src/Traffic/SlotExchange.h"

namespace Hallchute {

class EventLoop;

/// \brief Takes slots from the only daemon of a fleet.
class LocalSlots final : public SlotExchange {
 public:
  explicit LocalSlots(EventLoop& loop) : loop_(loop) { ledger_.setFleet(1, "alone"); }
  void acquire(const SlotRequest& request, ReplySink onReply) override;

 private:
  EventLoop& loop_;
  SlotLedger ledger_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_LOCALSLOTS_H
