// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_HELDSLOT_H
#define HALLCHUTE_TRAFFIC_HELDSLOT_H

#include <functional>
#include <memory>
#include <utility>

#include "Hallchute/src/Gateway/SlotRequest.h"

namespace Hallchute {

/// \brief A slot of an upstream that a request holds; given back unused if nobody releases it.
/// \ingroup Traffic
class HeldSlot {
 public:
  using Release = std::function<void(SlotOutcome)>;

  explicit HeldSlot(Release release) : release_(std::move(release)) {}
  ~HeldSlot() { release(SlotOutcome::unused); }
  HeldSlot(const HeldSlot&) = delete;
  HeldSlot& operator=(const HeldSlot&) = delete;

  /// \brief Gives the slot back; does nothing the second time.
  void release(SlotOutcome outcome) {
    if (const Release call = std::exchange(release_, nullptr)) call(outcome);
  }

 private:
  Release release_;
};

using HeldSlotPtr = std::shared_ptr<HeldSlot>;

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_HELDSLOT_H
