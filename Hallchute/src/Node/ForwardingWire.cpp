// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/ForwardingWire.h"

#include <tuple>
#include <utility>

#include "Hallchute/src/Node/FleetWire.h"

namespace Hallchute {

inline auto wireFields(HttpField& m) {
  return std::tie(m.name, m.value);
}

namespace {

/// An HttpHead.
struct WireHead {
  std::string method;
  std::string target;
  int status = 0;
  int version = 11;
  std::vector<HttpField> fields;
  bool keepAlive = false;
  bool bodyEndsAtClose = false;
};

auto wireFields(WireHead& m) {
  return std::tie(m.method, m.target, m.status, m.version, m.fields, m.keepAlive,
                  m.bodyEndsAtClose);
}

/// A ForwardedRequest.
struct WireRequest {
  RequestId id;
  RequestFingerprint content{};
  ServiceName service;
  std::string affinity;
  std::uint64_t sharedTokens = 0;
  std::uint64_t promptTokens = 0;
  std::vector<UpstreamId> tried;
  bool repeatable = false;
  WireHead head;
  std::string body;
  Millis remaining{0};
  OrganisationName organisation;
  std::optional<int> urgency;
  std::string lastEventId;
};

auto wireFields(WireRequest& m) {
  return std::tie(m.id, m.content, m.service, m.affinity, m.sharedTokens, m.promptTokens, m.tried,
                  m.repeatable, m.head, m.body, m.remaining, m.organisation, m.urgency,
                  m.lastEventId);
}

enum class ReplyKind : std::uint8_t { declined, dispatched, head, body, done, failed };

/// A ForwardedReply; only what its kind needs is set.
struct WireReply {
  ReplyKind kind = ReplyKind::done;
  std::string text;
  UpstreamIncarnation upstream;
  WireHead head;
  ExchangeFailure failure = ExchangeFailure::notSent;
};

auto wireFields(WireReply& m) {
  return std::tie(m.kind, m.text, m.upstream, m.head, m.failure);
}

WireHead toWire(const HttpHead& head) {
  return {head.method,       head.target,    head.status,         head.version,
          head.fields.all(), head.keepAlive, head.bodyEndsAtClose};
}

HttpHead fromWire(const WireHead& wire) {
  HttpHead head;
  head.method = wire.method;
  head.target = wire.target;
  head.status = wire.status;
  head.version = wire.version;
  for (const HttpField& field : wire.fields) head.fields.add(field.name, field.value);
  head.keepAlive = wire.keepAlive;
  head.bodyEndsAtClose = wire.bodyEndsAtClose;
  return head;
}

/// Converts the replies that travel between daemons.
struct ReplyPacker {
  WireReply operator()(const ForwardedReplies::Declined& reply) const {
    return {ReplyKind::declined, reply.reason, {}, {}, {}};
  }
  WireReply operator()(const ForwardedReplies::Dispatched& reply) const {
    return {ReplyKind::dispatched, {}, reply.upstream, {}, {}};
  }
  WireReply operator()(const ForwardedReplies::Head& reply) const {
    return {ReplyKind::head, {}, {}, toWire(reply.head), {}};
  }
  WireReply operator()(const ForwardedReplies::Body& reply) const {
    return {ReplyKind::body, reply.bytes, {}, {}, {}};
  }
  WireReply operator()(const ForwardedReplies::Done&) const { return {}; }
  WireReply operator()(const ForwardedReplies::Failed& reply) const {
    return {ReplyKind::failed, {}, {}, {}, reply.failure};
  }
  /// The local ones: to the receiver, the request was not passed on.
  template <typename Local>
  WireReply operator()(const Local&) const {
    return {ReplyKind::declined, "local", {}, {}, {}};
  }
};

}  // namespace

std::string packForwarded(const ForwardedRequest& request) {
  const DispatchMetadata& terms = request.terms;
  return pack(WireRequest{request.id, request.content, request.service, request.affinity,
                          request.sharedTokens, request.promptTokens, request.tried,
                          request.repeatable, toWire(request.head), request.body, terms.remaining,
                          terms.organisation, terms.urgency, terms.lastEventId});
}

std::optional<ForwardedRequest> unpackForwardedRequest(std::string_view bytes) {
  std::optional<WireRequest> wire = unpack<WireRequest>(bytes);
  if (!wire) return std::nullopt;
  ForwardedRequest request;
  request.id = wire->id;
  request.content = wire->content;
  request.service = wire->service;
  request.affinity = wire->affinity;
  request.sharedTokens = wire->sharedTokens;
  request.promptTokens = wire->promptTokens;
  request.tried = std::move(wire->tried);
  request.repeatable = wire->repeatable;
  request.head = fromWire(wire->head);
  request.body = std::move(wire->body);
  request.terms.remaining = wire->remaining;
  request.terms.organisation = wire->organisation;
  request.terms.urgency = wire->urgency;
  request.terms.lastEventId = wire->lastEventId;
  return request;
}

std::string packForwarded(const ForwardedReply& reply) {
  return pack(std::visit(ReplyPacker{}, reply));
}

std::optional<ForwardedReply> unpackForwardedReply(std::string_view bytes) {
  std::optional<WireReply> wire = unpack<WireReply>(bytes);
  if (!wire) return std::nullopt;
  switch (wire->kind) {
    case ReplyKind::declined:
      return ForwardedReplies::Declined{wire->text};
    case ReplyKind::dispatched:
      return ForwardedReplies::Dispatched{wire->upstream};
    case ReplyKind::head:
      return ForwardedReplies::Head{fromWire(wire->head)};
    case ReplyKind::body:
      return ForwardedReplies::Body{std::move(wire->text)};
    case ReplyKind::done:
      return ForwardedReplies::Done{};
    case ReplyKind::failed:
      return ForwardedReplies::Failed{wire->failure};
  }
  return std::nullopt;
}

}  // namespace Hallchute
