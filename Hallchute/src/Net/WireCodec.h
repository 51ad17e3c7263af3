// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_WIRECODEC_H
#define HALLCHUTE_NET_WIRECODEC_H

#include <msgpack.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief A serializable type: `wireFields(t)` returns a tuple of references to its members.
/// \ingroup Net
template <typename T>
concept WireType = requires(T& value) {
  wireFields(value);
};

/// \brief Serializes \p message as MessagePack, with the members as an array.
/// \ingroup Net
template <typename T>
std::string pack(const T& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

/// \brief Deserializes a message; nothing if \p bytes do not hold a T.
/// \ingroup Net
template <typename T>
std::optional<T> unpack(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    return handle.get().as<T>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace Hallchute

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename Tag>
  struct pack<Hallchute::Id<Tag>> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& out, const Hallchute::Id<Tag>& id) const {
      return out.pack(id.str());
    }
  };
  template <typename Tag>
  struct convert<Hallchute::Id<Tag>> {
    const msgpack::object& operator()(const msgpack::object& in, Hallchute::Id<Tag>& id) const {
      id = Hallchute::Id<Tag>(in.as<std::string>());
      return in;
    }
  };

  template <>
  struct pack<Hallchute::Millis> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& out, const Hallchute::Millis& time) const {
      return out.pack(static_cast<std::int64_t>(time.count()));
    }
  };
  template <>
  struct convert<Hallchute::Millis> {
    const msgpack::object& operator()(const msgpack::object& in, Hallchute::Millis& time) const {
      time = Hallchute::Millis(in.as<std::int64_t>());
      return in;
    }
  };

  template <typename T>
  requires std::is_enum_v<T>
  struct pack<T, void> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& out, const T& value) const {
      return out.pack(static_cast<std::int64_t>(value));
    }
  };
  template <typename T>
  requires std::is_enum_v<T>
  struct convert<T, void> {
    const msgpack::object& operator()(const msgpack::object& in, T& value) const {
      value = static_cast<T>(in.as<std::int64_t>());
      return in;
    }
  };

  template <Hallchute::WireType T>
  struct pack<T, void> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& out, const T& message) const {
      // wireFields() takes a non-const reference for deserialization; packing modifies nothing.
      auto fields = wireFields(const_cast<T&>(message));
      out.pack_array(std::tuple_size_v<decltype(fields)>);
      std::apply([&](const auto&... field) { (out.pack(field), ...); }, fields);
      return out;
    }
  };
  template <Hallchute::WireType T>
  struct convert<T, void> {
    const msgpack::object& operator()(const msgpack::object& in, T& message) const {
      auto fields = wireFields(message);
      constexpr std::size_t kCount = std::tuple_size_v<decltype(fields)>;
      if (in.type != msgpack::type::ARRAY || in.via.array.size != kCount) throw type_error();
      std::size_t index = 0;
      std::apply([&](auto&... field) { (in.via.array.ptr[index++].convert(field), ...); }, fields);
      return in;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

#endif  // HALLCHUTE_NET_WIRECODEC_H
