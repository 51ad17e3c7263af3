// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/SlotLink.h"

#include <utility>

#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Net/PeerTransport.h"
#include "Hallchute/src/Node/FleetWire.h"
#include "Hallchute/src/Observability/LogLine.h"

namespace Hallchute {
namespace {

constexpr std::string_view kSlotPath = "/upstreams/slot";
/// Several round trips between failure domains; the request waits meanwhile.
constexpr Millis kReplyTimeout{200};
/// Time for which a coordinator that did not answer is not asked: until it answers again, or until
/// the fleet has noticed that it is down.
constexpr Millis kUnresponsive{1'000};

struct SlotReplyMessage {
  std::uint8_t verdict = 0;
  std::uint64_t lease = 0;
  std::uint32_t inUse = 0;
  std::uint32_t allowed = 0;
};

struct SlotReleaseMessage {
  std::uint8_t outcome = 0;
};

}  // namespace

inline auto wireFields(SlotRequest& m) {
  return std::tie(m.upstream, m.slots, m.rejectionsPerSecond);
}

namespace {

auto wireFields(SlotReplyMessage& m) {
  return std::tie(m.verdict, m.lease, m.inUse, m.allowed);
}
auto wireFields(SlotReleaseMessage& m) {
  return std::tie(m.outcome);
}

void logUnreadable(std::string_view message) {
  LogLine(LogLevel::warning, "slots.unreadable").with("bytes", message.size());
}

SlotDecision refusal(SlotVerdict verdict) {
  SlotDecision decision;
  decision.verdict = verdict;
  return decision;
}

/// A daemon of another release may send a value that this one doesn't know.
SlotDecision decisionOf(const std::optional<SlotReplyMessage>& message) {
  SlotDecision decision;
  if (!message || message->verdict > static_cast<std::uint8_t>(SlotVerdict::unreachable))
    return decision;
  decision.verdict = static_cast<SlotVerdict>(message->verdict);
  decision.lease.id = message->lease;
  decision.inUse = message->inUse;
  decision.allowed = message->allowed;
  return decision;
}

SlotOutcome outcomeOf(const std::optional<SlotReleaseMessage>& message) {
  if (!message || message->outcome > static_cast<std::uint8_t>(SlotOutcome::unknown))
    return SlotOutcome::unknown;
  return static_cast<SlotOutcome>(message->outcome);
}

}  // namespace

SlotLink::SlotLink(EventLoop& traffic, EventLoop& control, PeerTransport& transport,
                   Coordinator coordinator)
    : traffic_(traffic),
      control_(control),
      transport_(transport),
      coordinator_(std::move(coordinator)) {
  transport_.serve(kSlotPath, [this](const PeerStreamPtr& stream) { serve(stream); });
}

void SlotLink::setFleet(double liveFraction, const DaemonId& self, Instant now) {
  ledger_.setFleet(liveFraction, self.str());
  ledger_.retain([this](const UpstreamId& upstream) { return !coordinator_(upstream); }, now);
  std::erase_if(unresponsive_, [&](const auto& item) { return item.second <= now; });
}

void SlotLink::acquire(const SlotRequest& request, ReplySink onReply) {
  control_.post([this, request, onReply = std::move(onReply)] {
    const std::optional<FleetMember> coordinator = coordinator_(request.upstream.id);
    if (coordinator) {
      ask(*coordinator, request, onReply);
    } else {
      decide(request, onReply);
    }
  });
}

void SlotLink::decide(const SlotRequest& request, const ReplySink& onReply) {
  const SlotDecision decision = ledger_.acquire(request, clockNow());
  reply(onReply, decision, {},
        [this, &control = control_, lease = decision.lease](SlotOutcome outcome) {
          // Sessions may end after this link, when the loop has stopped.
          control.post([this, lease, outcome] { ledger_.release(lease, outcome, clockNow()); });
        });
}

/// Calls the sink on the traffic thread, with a slot if one was granted.
void SlotLink::reply(const ReplySink& onReply, const SlotDecision& decision,
                     const DaemonId& coordinator, HeldSlot::Release release) {
  SlotReply answer{decision, nullptr, coordinator};
  if (decision.granted()) answer.slot = std::make_shared<HeldSlot>(std::move(release));
  traffic_.post([onReply, answer = std::move(answer)] { onReply(answer); });
}

void SlotLink::ask(const FleetMember& coordinator, const SlotRequest& request, ReplySink onReply) {
  if (unresponsive_.contains(coordinator.daemon)) {
    reply(onReply, refusal(SlotVerdict::unreachable), coordinator.daemon, {});
    return;
  }
  const std::uint64_t id = nextId_++;
  Question& question = questions_[id];
  question.coordinator = coordinator.daemon;
  question.onReply = std::move(onReply);
  question.timer = control_.after(kReplyTimeout, [this, id] {
    questions_.at(id).timer = 0;
    unresponsive_[questions_.at(id).coordinator] = clockNow() + kUnresponsive;
    finish(id, refusal(SlotVerdict::unreachable));
  });
  question.stream = transport_.open(coordinator.address, kSlotPath, pack(request));
  question.stream->onMessage = [this, id](std::string_view message) { receiveReply(id, message); };
  question.stream->onClosed = [this, id] { finish(id, refusal(SlotVerdict::unreachable)); };
}

void SlotLink::receiveReply(std::uint64_t question, std::string_view message) {
  const auto reply = unpack<SlotReplyMessage>(message);
  if (!reply) logUnreadable(message);
  finish(question, decisionOf(reply));
}

void SlotLink::finish(std::uint64_t question, const SlotDecision& decision) {
  auto node = questions_.extract(question);
  // The stream of a slot that was granted earlier has closed.
  if (node.empty()) return;
  control_.cancel(node.mapped().timer);
  const PeerStreamPtr stream = node.mapped().stream;
  if (!decision.granted()) {
    // The stream may be making this call, and is destroyed after it.
    control_.post([stream] { stream->close(); });
  }
  reply(node.mapped().onReply, decision, node.mapped().coordinator,
        [&control = control_, stream](SlotOutcome outcome) {
          control.post([stream, outcome] {
            if (!stream->isOpen()) return;
            stream->send(pack(SlotReleaseMessage{static_cast<std::uint8_t>(outcome)}));
            stream->finish();
          });
        });
}

void SlotLink::serve(const PeerStreamPtr& stream) {
  const std::uint64_t id = nextId_++;
  // The transport owns the stream until it closes.
  served_[id].stream = stream;
  stream->onMessage = [this, id](std::string_view message) { receive(id, message); };
  stream->onClosed = [this, id] { end(id, SlotOutcome::unknown); };
}

void SlotLink::receive(std::uint64_t served, std::string_view message) {
  const auto it = served_.find(served);
  if (it == served_.end()) return;
  if (it->second.lease.id == 0) {
    grant(served, message);
    return;
  }
  const auto release = unpack<SlotReleaseMessage>(message);
  if (!release) logUnreadable(message);
  const PeerStreamPtr stream = it->second.stream.lock();
  end(served, outcomeOf(release));
  if (stream != nullptr) stream->finish();
}

void SlotLink::grant(std::uint64_t served, std::string_view message) {
  const auto request = unpack<SlotRequest>(message);
  if (!request) logUnreadable(message);
  SlotDecision decision = refusal(SlotVerdict::notCoordinator);
  if (request && !coordinator_(request->upstream.id))
    decision = ledger_.acquire(*request, clockNow());
  Served& entry = served_.at(served);
  entry.lease = decision.lease;
  const PeerStreamPtr stream = entry.stream.lock();
  if (stream == nullptr) return;
  stream->send(pack(SlotReplyMessage{static_cast<std::uint8_t>(decision.verdict), decision.lease.id,
                                     decision.inUse, decision.allowed}));
  if (decision.granted()) return;
  stream->finish();
  served_.erase(served);
}

void SlotLink::end(std::uint64_t served, SlotOutcome outcome) {
  const auto node = served_.extract(served);
  if (!node.empty()) ledger_.release(node.mapped().lease, outcome, clockNow());
}

}  // namespace Hallchute
