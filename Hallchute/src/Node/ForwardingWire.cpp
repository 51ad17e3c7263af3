// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/ForwardingWire.h"

#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "Hallchute/src/Node/FleetWire.h"

namespace Hallchute {

inline auto wireFields(HttpField& m) {
  return std::tie(m.name, m.value);
}
inline auto wireFields(CrashSuspects& m) {
  return std::tie(m.content, m.parts);
}
inline auto wireFields(UpstreamCriteria& m) {
  return std::tie(m.service, m.affinity, m.sharedTokens, m.tried, m.ownDomain, m.requestId,
                  m.version, m.excludedVersions, m.excludedUpstreams);
}
inline auto wireFields(DispatchMetadata& m) {
  return std::tie(m.remaining, m.upstream, m.organisation, m.urgency, m.lastEventId, m.cacheSource);
}

}  // namespace Hallchute

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <>
  struct pack<Hallchute::HttpFields> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& out, const Hallchute::HttpFields& fields) const {
      return out.pack(fields.all());
    }
  };
  template <>
  struct convert<Hallchute::HttpFields> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      Hallchute::HttpFields& fields) const {
      fields = {};
      for (const auto& field : in.as<std::vector<Hallchute::HttpField>>()) {
        fields.add(field.name, field.value);
      }
      return in;
    }
  };

  template <>
  struct pack<Hallchute::SharedBytes> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& out, const Hallchute::SharedBytes& bytes) const {
      return out.pack(std::string_view(bytes == nullptr ? std::string_view() : *bytes));
    }
  };
  template <>
  struct convert<Hallchute::SharedBytes> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      Hallchute::SharedBytes& bytes) const {
      bytes = std::make_shared<const std::string>(in.as<std::string>());
      return in;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

namespace Hallchute {

inline auto wireFields(HttpHead& m) {
  return std::tie(m.method, m.target, m.status, m.version, m.fields, m.keepAlive,
                  m.bodyEndsAtClose);
}
inline auto wireFields(ForwardedRequest& m) {
  return std::tie(m.criteria, m.suspects, m.promptTokens, m.repeatable, m.head, m.body, m.terms);
}

namespace ForwardedReplies {

inline auto wireFields(Declined& m) {
  return std::tie(m.reason);
}
inline auto wireFields(Dispatched& m) {
  return std::tie(m.upstream, m.version);
}
inline auto wireFields(Head& m) {
  return std::tie(m.head);
}
inline auto wireFields(Body& m) {
  return std::tie(m.bytes);
}
inline auto wireFields(Done&) {
  return std::tie();
}
inline auto wireFields(Failed& m) {
  return std::tie(m.failure);
}

}  // namespace ForwardedReplies

namespace {

/// A reply as its position in the variant, and its packed value.
struct WireReply {
  std::size_t kind = 0;
  std::string value;
};

auto wireFields(WireReply& m) {
  return std::tie(m.kind, m.value);
}

template <std::size_t kind = 0>
std::optional<ForwardedReply> unpackKind(const WireReply& wire) {
  if constexpr (kind < std::variant_size_v<ForwardedReply>) {
    if (wire.kind != kind) return unpackKind<kind + 1>(wire);
    auto value = unpack<std::variant_alternative_t<kind, ForwardedReply>>(wire.value);
    if (!value) return std::nullopt;
    return ForwardedReply(std::move(*value));
  } else {
    return std::nullopt;
  }
}

}  // namespace

std::string packForwarded(const ForwardedRequest& request) {
  return pack(request);
}

std::optional<ForwardedRequest> unpackForwardedRequest(std::string_view bytes) {
  return unpack<ForwardedRequest>(bytes);
}

std::string packForwarded(const ForwardedReply& reply) {
  const std::string value = std::visit([](const auto& r) { return pack(r); }, reply);
  return pack(WireReply{reply.index(), value});
}

std::optional<ForwardedReply> unpackForwardedReply(std::string_view bytes) {
  const std::optional<WireReply> wire = unpack<WireReply>(bytes);
  return wire ? unpackKind(*wire) : std::nullopt;
}

}  // namespace Hallchute
