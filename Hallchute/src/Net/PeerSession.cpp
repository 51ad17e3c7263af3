// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/PeerSession.h"

#include <algorithm>
#include <array>

#include "Hallchute/src/Core/SecretHash.h"
#include "Hallchute/src/Gateway/RequestMemory.h"
#include "Hallchute/src/Net/Clock.h"

namespace Hallchute {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::uint32_t kMaxStreams = 4'096;
constexpr std::int32_t kWindowBytes = 1 << 20;

nghttp2_nv header(std::string_view name, std::string_view value) {
  // nghttp2 takes non-const pointers, but copies the bytes.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(),
          value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::string_view viewOf(const std::uint8_t* bytes, std::size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

}  // namespace

/// Callbacks for nghttp2; `user` points to the PeerSession.
struct PeerSession::Callbacks {
  static PeerSession& self(void* user) { return *static_cast<PeerSession*>(user); }

  static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize,
                      std::uint8_t, void* user) {
    Stream& stream = self(user).stream(frame->hd.stream_id);
    const std::string_view key = viewOf(name, nameSize);
    if (key == ":path") stream.path = viewOf(value, valueSize);
    if (key == "authorization") stream.secret = viewOf(value, valueSize);
    return 0;
  }

  static int onFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    PeerSession& session = self(user);
    const std::int32_t id = frame->hd.stream_id;
    if (frame->hd.type == NGHTTP2_HEADERS && session.role_ == Role::server) {
      Stream& stream = session.stream(id);
      if (!equalInConstantTime(stream.secret, session.secret_)) {
        stream.discarded = true;
        session.reset(id);
        return 0;
      }
      const nghttp2_nv status = header(":status", "200");
      const nghttp2_data_provider provider = session.provider();
      nghttp2_submit_response(session.session_, id, &status, 1, &provider);
      session.events_.onOpened(id, stream.path);
    }
    const bool ended = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (ended && session.role_ == Role::server) session.finish(id);
    return 0;
  }

  static int onData(nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                    std::size_t size, void* user) {
    PeerSession& session = self(user);
    const auto it = session.streams_.find(id);
    if (it == session.streams_.end() || it->second.discarded) return 0;
    it->second.in.append(viewOf(data, size));
    session.takeMessages(id, it->second);
    session.noteIncomplete(id);
    return 0;
  }

  static int onClose(nghttp2_session*, std::int32_t id, std::uint32_t, void* user) {
    PeerSession& session = self(user);
    if (session.streams_.erase(id) > 0) session.events_.onClosed(id);
    return 0;
  }

  static ssize_t readData(nghttp2_session*, std::int32_t id, std::uint8_t* buffer, std::size_t size,
                          std::uint32_t* flags, nghttp2_data_source*, void* user) {
    PeerSession& session = self(user);
    const auto it = session.streams_.find(id);
    if (it == session.streams_.end()) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    Stream& stream = it->second;
    const std::size_t count = std::min(size, stream.out.size() - stream.sent);
    std::copy_n(stream.out.begin() + static_cast<std::ptrdiff_t>(stream.sent), count, buffer);
    stream.sent += count;
    if (stream.sent == stream.out.size()) {
      stream.out.clear();
      stream.sent = 0;
      if (stream.finishing) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
      } else if (count == 0) {
        return NGHTTP2_ERR_DEFERRED;
      }
    }
    return static_cast<ssize_t>(count);
  }
};

PeerSession::Stream::~Stream() {
  if (session.memory_ != nullptr) session.memory_->remove(*this);
}

PeerSession::PeerSession(Role role, std::string secret, Events events, RequestMemory* memory)
    : role_(role),
      secret_("Bearer " + std::move(secret)),
      events_(std::move(events)),
      memory_(memory) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::onHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::onFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::onData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::onClose);
  if (role_ == Role::client) {
    nghttp2_session_client_new(&session_, callbacks, this);
  } else {
    nghttp2_session_server_new(&session_, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  const std::array settings{
      nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
      nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, kWindowBytes);
}

PeerSession::~PeerSession() {
  nghttp2_session_del(session_);
}

nghttp2_data_provider PeerSession::provider() {
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::readData;
  return provider;
}

bool PeerSession::receive(std::string_view bytes) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  const ssize_t used = nghttp2_session_mem_recv(session_, data, bytes.size());
  if (used < 0) return false;
  return nghttp2_session_want_read(session_) != 0 || nghttp2_session_want_write(session_) != 0;
}

std::string PeerSession::takeOutput() {
  std::string output;
  const std::uint8_t* data = nullptr;
  ssize_t size = 0;
  while ((size = nghttp2_session_mem_send(session_, &data)) > 0) {
    output.append(viewOf(data, static_cast<std::size_t>(size)));
  }
  return output;
}

std::int32_t PeerSession::open(std::string_view path) {
  const std::array headers{header(":method", "POST"), header(":scheme", "http"),
                           header(":authority", "peer"), header(":path", path),
                           header("authorization", secret_)};
  const nghttp2_data_provider source = provider();
  const std::int32_t id =
      nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &source, nullptr);
  if (id >= 0) stream(id).path = path;
  return id;
}

void PeerSession::send(std::int32_t id, std::string_view message) {
  const auto it = streams_.find(id);
  if (it == streams_.end() || it->second.finishing) return;
  const auto size = static_cast<std::uint32_t>(message.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    it->second.out.push_back(static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xFFU));
  }
  it->second.out.append(message);
  nghttp2_session_resume_data(session_, id);
}

void PeerSession::finish(std::int32_t id) {
  const auto it = streams_.find(id);
  if (it == streams_.end() || it->second.finishing) return;
  it->second.finishing = true;
  nghttp2_session_resume_data(session_, id);
}

void PeerSession::reset(std::int32_t id) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
}

PeerSession::Stream& PeerSession::stream(std::int32_t id) {
  return streams_.try_emplace(id, *this, id).first->second;
}

void PeerSession::noteIncomplete(std::int32_t id) {
  const auto it = streams_.find(id);
  if (memory_ == nullptr || it == streams_.end()) return;
  Stream& stream = it->second;
  if (stream.in.empty()) {
    stream.in = {};
    stream.messageBegan = {};
    memory_->remove(stream);
    return;
  }
  if (stream.messageBegan == Instant()) stream.messageBegan = clockNow();
  memory_->update(stream, {stream.in.size(), 0, false, stream.messageBegan});
  if (memory_->exceeded()) memory_->relieve(clockNow());
}

void PeerSession::giveUp(Stream& stream) {
  const std::size_t bytes = stream.in.size();
  stream.discarded = true;
  stream.in = {};
  memory_->remove(stream);
  reset(stream.id);
  if (events_.onGivenUp) events_.onGivenUp(bytes);
}

void PeerSession::takeMessages(std::int32_t id, Stream& stream) {
  while (stream.in.size() >= kLengthBytes) {
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      size = (size << 8U) | static_cast<unsigned char>(stream.in[i]);
    }
    if (size > kMaxMessageBytes) {
      reset(id);
      return;
    }
    if (stream.in.size() < kLengthBytes + size) return;
    std::string message = stream.in.substr(kLengthBytes, size);
    stream.in.erase(0, kLengthBytes + size);
    events_.onMessage(id, std::move(message));
    if (!streams_.contains(id)) return;
  }
}

}  // namespace Hallchute
