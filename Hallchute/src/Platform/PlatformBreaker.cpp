// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Platform/PlatformBreaker.h"

#include "Hallchute/src/Net/Clock.h"

namespace Hallchute {
namespace {

template <typename T>
bool isOut(const PlatformReply<T>& reply) {
  if (const auto* refused = std::get_if<Refused>(&reply)) {
    return refused->reason == PlatformRefusal::unavailable;
  }
  const auto* unknown = std::get_if<OutcomeUnknown>(&reply);
  return unknown != nullptr && unknown->timedOut;
}

}  // namespace

/// The first caller after the pause goes through and keeps the others waiting for its word.
bool PlatformBreaker::mayCall() {
  Instant::rep until = openUntil_;
  if (until == 0) return true;
  const Instant now = clockNow();
  if (now.time_since_epoch().count() < until) return false;
  const Instant::rep next = (now + kOpenFor).time_since_epoch().count();
  return openUntil_.compare_exchange_strong(until, next);
}

template <typename T, typename Call>
PlatformReply<T> PlatformBreaker::guard(const Call& call) {
  if (!mayCall()) return Refused{PlatformRefusal::unavailable, "the platform was just found out"};
  PlatformReply<T> reply = call();
  openUntil_ = isOut(reply) ? (clockNow() + kOpenFor).time_since_epoch().count() : 0;
  return reply;
}

PlatformReply<StoredObject> PlatformBreaker::read(std::string_view key) {
  return guard<StoredObject>([&] { return platform_.read(key); });
}

PlatformReply<std::uint64_t> PlatformBreaker::write(std::string_view key, std::string_view value,
                                                    std::uint64_t ifVersion) {
  return guard<std::uint64_t>([&] { return platform_.write(key, value, ifVersion); });
}

PlatformReply<std::uint64_t> PlatformBreaker::remove(std::string_view key,
                                                     std::uint64_t ifVersion) {
  return guard<std::uint64_t>([&] { return platform_.remove(key, ifVersion); });
}

PlatformReply<ObjectList> PlatformBreaker::list(std::string_view prefix, std::string_view after,
                                                std::size_t most) {
  return guard<ObjectList>([&] { return platform_.list(prefix, after, most); });
}

PlatformReply<ObjectList> PlatformBreaker::watch(std::string_view prefix, std::uint64_t since,
                                                 Millis wait) {
  return platform_.watch(prefix, since, wait);
}

PlatformReply<HostList> PlatformBreaker::hosts() {
  return guard<HostList>([&] { return platform_.hosts(); });
}

}  // namespace Hallchute
