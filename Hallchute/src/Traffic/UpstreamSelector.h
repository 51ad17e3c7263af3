// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_UPSTREAMSELECTOR_H
#define HALLCHUTE_TRAFFIC_UPSTREAMSELECTOR_H

#include <functional>
#include <memory>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/UpstreamPick.h"
#include "Hallchute/src/Traffic/HeldSlot.h"

namespace Hallchute {

class Metrics;
class SlotExchange;
class UpstreamTable;
struct SlotReply;

/// \brief Chooses the upstream of a request and takes a slot there if the upstream names a limit on
/// rejections. Traffic thread only. \ingroup Traffic
class UpstreamSelector {
 public:
  /// Called with null if no upstream has room.
  using Sink = std::function<void(const UpstreamEntry* upstream, const HeldSlotPtr& slot)>;

  UpstreamSelector(const UpstreamTable& upstreams, Metrics& metrics)
      : upstreams_(upstreams), metrics_(metrics) {}
  /// \brief Sets how slots are taken; null, or must outlive this. Without it none are needed.
  void setExchange(SlotExchange* exchange) { exchange_ = exchange; }
  /// \brief Calls \p sink at once if no slot is needed, otherwise from the loop.
  void choose(const UpstreamCriteria& criteria, Sink sink);

 private:
  /// A choice that waits for a slot.
  struct Search {
    UpstreamCriteria criteria;
    Sink sink;
    int asked = 0;
    UpstreamIncarnation upstream;
    Instant askedAt{};
  };

  void ask(const std::shared_ptr<Search>& search, const UpstreamEntry& upstream);
  void receive(const std::shared_ptr<Search>& search, const SlotReply& reply);

  const UpstreamTable& upstreams_;
  Metrics& metrics_;
  SlotExchange* exchange_ = nullptr;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_UPSTREAMSELECTOR_H
