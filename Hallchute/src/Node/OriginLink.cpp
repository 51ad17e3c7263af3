// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/OriginLink.h"

#include <utility>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Net/PeerTransport.h"
#include "Hallchute/src/Node/FleetWire.h"
#include "Hallchute/src/Observability/LogLine.h"

namespace Hallchute {
namespace {

constexpr std::string_view kTellPath = "/streams/origins";
constexpr std::string_view kAskPath = "/streams/origin";
/// Several round trips between failure domains; a caller that returns waits no longer.
constexpr Millis kAskTimeout{300};

struct OriginQuestion {
  StreamKey stream{};
  ServiceName service;
};

struct OriginsMessage {
  std::vector<StreamOrigin> origins;
};

}  // namespace

inline auto wireFields(StreamOrigin& m) {
  return std::tie(m.stream, m.service, m.version);
}
inline auto wireFields(StreamOriginReply& m) {
  return std::tie(m.basis, m.archiveRead, m.origin);
}

namespace {

auto wireFields(OriginQuestion& m) {
  return std::tie(m.stream, m.service);
}
auto wireFields(OriginsMessage& m) {
  return std::tie(m.origins);
}

void logUnreadable(std::string_view message) {
  LogLine(LogLevel::warning, "origins.unreadable").with("bytes", message.size());
}

}  // namespace

OriginLink::OriginLink(EventLoop& traffic, EventLoop& control, PeerTransport& transport,
                       Callbacks callbacks)
    : traffic_(traffic),
      control_(control),
      transport_(transport),
      callbacks_(std::move(callbacks)) {
  transport_.serve(kTellPath, [this](const PeerStreamPtr& stream) { serveTold(stream); });
  transport_.serve(kAskPath, [this](const PeerStreamPtr& stream) { serveQuestion(stream); });
}

void OriginLink::tell(std::vector<StreamOrigin> origins) {
  control_.post([this, origins = std::move(origins)] { send(origins); });
}

void OriginLink::send(const std::vector<StreamOrigin>& origins) {
  std::map<std::string, OriginsMessage> messages;
  for (const StreamOrigin& origin : origins) {
    for (const FleetMember& holder : callbacks_.holders(origin.stream)) {
      messages[holder.address].origins.push_back(origin);
    }
  }
  std::erase_if(streams_, [](const auto& item) { return !item.second->isOpen(); });
  for (const auto& [address, message] : messages) {
    const auto it = streams_.find(address);
    if (it != streams_.end()) {
      it->second->send(pack(message));
    } else {
      streams_[address] = transport_.open(address, kTellPath, pack(message));
    }
  }
}

void OriginLink::ask(StreamKey stream, const ServiceName& service, ReplySink onReply) {
  control_.post(
      [this, stream, service, onReply = std::move(onReply)] { open(stream, service, onReply); });
}

void OriginLink::open(StreamKey stream, const ServiceName& service, ReplySink onReply) {
  const std::uint64_t id = nextQuestion_++;
  Question& question = questions_[id];
  question.onReply = std::move(onReply);
  const std::vector<FleetMember> holders = callbacks_.holdersToAsk(stream);
  question.pending = holders.size();
  if (holders.empty()) {
    finish(id, {});
    return;
  }
  question.timer = control_.after(kAskTimeout, [this, id] {
    questions_.at(id).timer = 0;
    finish(id, {});
  });
  const std::string message = pack(OriginQuestion{stream, service});
  for (const FleetMember& holder : holders) {
    const PeerStreamPtr asked = transport_.open(holder.address, kAskPath, message);
    asked->onMessage = [this, id](std::string_view bytes) {
      const auto reply = unpack<StreamOriginReply>(bytes);
      if (!reply) logUnreadable(bytes);
      receive(id, reply.value_or(StreamOriginReply{}));
    };
    // Not called after a reply, as a stream stays open until this side closes it too.
    asked->onClosed = [this, id] { receive(id, {}); };
    question.streams.push_back(asked);
  }
}

void OriginLink::receive(std::uint64_t id, const StreamOriginReply& reply) {
  const auto it = questions_.find(id);
  if (it == questions_.end()) return;
  if (reply.basis != OriginBasis::none) {
    finish(id, reply);
    return;
  }
  Question& question = it->second;
  question.archiveRead = question.archiveRead || reply.archiveRead;
  --question.pending;
  if (question.pending == 0) finish(id, {OriginBasis::none, question.archiveRead, {}});
}

void OriginLink::finish(std::uint64_t id, const StreamOriginReply& reply) {
  const auto node = questions_.extract(id);
  Question& question = node.mapped();
  control_.cancel(question.timer);
  // The streams may be making this call, and are destroyed after it.
  control_.post([streams = std::move(question.streams)] {
    for (const PeerStreamPtr& stream : streams) stream->close();
  });
  traffic_.post([onReply = std::move(question.onReply), reply] { onReply(reply); });
}

void OriginLink::serveTold(const PeerStreamPtr& stream) {
  stream->onMessage = [this](std::string_view message) {
    auto told = unpack<OriginsMessage>(message);
    if (!told) {
      logUnreadable(message);
      return;
    }
    traffic_.post([this, told = std::move(*told)] { callbacks_.merge(told.origins); });
  };
}

void OriginLink::serveQuestion(const PeerStreamPtr& stream) {
  // The transport owns the stream until it closes; a strong reference would be a cycle.
  stream->onMessage = [this, weak = std::weak_ptr(stream)](std::string_view message) {
    const auto question = unpack<OriginQuestion>(message);
    if (!question) {
      logUnreadable(message);
      if (const PeerStreamPtr open = weak.lock()) open->finish();
      return;
    }
    traffic_.post([this, weak, question = *question] {
      callbacks_.reply(question.stream, question.service,
                       [this, weak](const StreamOriginReply& reply) {
                         control_.post([weak, reply] {
                           const PeerStreamPtr open = weak.lock();
                           if (!open) return;
                           open->send(pack(reply));
                           open->finish();
                         });
                       });
    });
  };
}

}  // namespace Hallchute
