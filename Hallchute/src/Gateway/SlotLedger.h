// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_SLOTLEDGER_H
#define HALLCHUTE_GATEWAY_SLOTLEDGER_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/SlotRequest.h"

namespace Hallchute {

/// \brief Grants the slots of the upstreams that name a limit on rejections, for the whole fleet.
/// Not thread-safe; no I/O, no clock. \ingroup Gateway
///
/// One daemon, the coordinator, keeps an upstream's slots, and every request to the upstream takes
/// one there first. So what is in flight is known exactly, however many daemons there are and
/// however late their reports of load. A coordinator that has just begun, or whose daemons are cut
/// off from others, knows nothing of what others have in flight: it begins without slots and gains
/// them at the rate at which the upstream may reject requests, of which the parts of a fleet that
/// is cut apart have their shares. A slot is granted again only if its request was not rejected.
/// Cost: a lookup per request.
class SlotLedger {
 public:
  /// \brief Sets the daemons that take their slots here, as a fraction of those that may be running
  /// and be in reach of the upstreams; 1 if no other daemon can be a coordinator.
  void setFleet(double liveFraction, std::string_view coordinator);
  SlotDecision acquire(const SlotRequest& request, Instant now);
  void release(const SlotLease& lease, SlotOutcome outcome, Instant now);
  /// \brief Forgets the upstreams for which this daemon isn't the coordinator any more, and those
  /// that were not used for long.
  void retain(const std::function<bool(const UpstreamId&)>& coordinates, Instant now);

 private:
  struct Entry {
    double perSecond = 0;
    std::uint32_t slots = 0;
    std::set<std::uint64_t> leases;
    /// Slots that may be in use at once.
    std::uint32_t allowed = 0;
    /// Most slots in use since `peakSince`, and in the period before.
    std::uint32_t peak = 0;
    std::uint32_t earlierPeak = 0;
    Instant peakSince{};
    /// Slots to gain; below zero after rejections, and none is granted until it is positive again.
    double credit = 0;
    Instant creditedAt{};
    Instant rejectedAt{};
    Instant usedAt{};
  };

  Entry& entryOf(const SlotRequest& request, Instant now);
  void addCredit(Entry& entry, Instant now) const;
  void forgetUnused(Entry& entry, Instant now) const;
  /// \returns whether one more slot may be in use.
  bool gainSlot(Entry& entry) const;
  bool complete() const { return liveFraction_ >= 1; }

  /// By upstream and its incarnation.
  std::map<std::pair<UpstreamId, std::uint64_t>, Entry> entries_;
  std::uint64_t nextLease_ = 1;
  double liveFraction_ = 0;
  std::uint64_t seed_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_SLOTLEDGER_H
