// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Traffic/UpstreamSelector.h"

#include <utility>

#include "Hallchute/src/Gateway/UpstreamTable.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Traffic/SlotExchange.h"

namespace Hallchute {
namespace {

/// Upstreams at which a request asks for a slot: each costs it a round trip between daemons.
constexpr int kMaxSlotRequests = 3;

}  // namespace

void UpstreamSelector::choose(const UpstreamCriteria& criteria, Sink sink) {
  const UpstreamEntry* upstream = pickUpstream(upstreams_, criteria, clockNow());
  const bool needsSlot = exchange_ != nullptr && upstream != nullptr &&
                         upstreams_.rejectionLimits().limited(upstream->record.id);
  if (!needsSlot) {
    sink(upstream, nullptr);
    return;
  }
  ask(std::make_shared<Search>(Search{criteria, std::move(sink), 0, {}, {}}), *upstream);
}

void UpstreamSelector::ask(const std::shared_ptr<Search>& search, const UpstreamEntry& upstream) {
  ++search->asked;
  search->upstream = {upstream.record.id, upstream.record.incarnation};
  search->askedAt = clockNow();
  const SlotRequest request{search->upstream, upstream.record.slots,
                            upstreams_.rejectionLimits().limitOf(upstream.record.id).value_or(0)};
  exchange_->acquire(request, [this, search](const SlotReply& reply) { receive(search, reply); });
}

void UpstreamSelector::receive(const std::shared_ptr<Search>& search, const SlotReply& reply) {
  const UpstreamId& asked = search->upstream.id;
  const SlotDecision& decision = reply.decision;
  const auto waited = std::chrono::duration_cast<Millis>(clockNow() - search->askedAt);
  LogLine(LogLevel::info, "upstream.slot")
      .with("request", search->criteria.requestId)
      .with("upstream", asked.str())
      .with("coordinator", reply.coordinator.str())
      .with("verdict", describe(decision.verdict))
      .with("inUse", static_cast<std::uint64_t>(decision.inUse))
      .with("allowed", static_cast<std::uint64_t>(decision.allowed))
      .with("waitedMs", waited);
  metrics_.add("hallchute_slots_asked_total",
               "verdict=\"" + std::string(describe(decision.verdict)) + "\"");
  metrics_.time("hallchute_slot_wait_ms", "", waited);
  const UpstreamEntry* entry = upstreams_.find(asked);
  const bool same = entry != nullptr && entry->record.incarnation == search->upstream.incarnation;
  if (decision.granted() && same) {
    search->sink(entry, reply.slot);
    return;
  }
  search->criteria.tried.insert(asked);
  const UpstreamEntry* next = search->asked < kMaxSlotRequests
                                  ? pickUpstream(upstreams_, search->criteria, clockNow())
                                  : nullptr;
  if (next == nullptr) {
    search->sink(nullptr, nullptr);
  } else if (upstreams_.rejectionLimits().limited(next->record.id)) {
    ask(search, *next);
  } else {
    search->sink(next, nullptr);
  }
}

}  // namespace Hallchute
