// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PLATFORM_PLATFORMBREAKER_H
#define HALLCHUTE_PLATFORM_PLATFORMBREAKER_H

#include <atomic>

#include "Hallchute/src/Ports/PlatformPort.h"

namespace Hallchute {

/// \brief Circuit breaker: fails calls immediately while the platform is unavailable.
/// \ingroup Platform
///
/// A call that times out or finds the platform unavailable opens the circuit: for kOpenDuration
/// calls are refused as unavailable without being sent, then one trial call is let through. A write
/// whose connection the platform closed does not open it: its reply was lost, and the caller must
/// be able to read the object at once. Watches bypass the breaker, since they wait by design. Any
/// thread.
class PlatformBreaker final : public PlatformPort {
 public:
  static constexpr Millis kOpenDuration{500};

  explicit PlatformBreaker(PlatformPort& platform) : platform_(platform) {}

  PlatformReply<StoredObject> read(std::string_view key) override;
  PlatformReply<std::uint64_t> write(std::string_view key, std::string_view value,
                                     std::uint64_t ifVersion) override;
  PlatformReply<std::uint64_t> remove(std::string_view key, std::uint64_t ifVersion) override;
  PlatformReply<ObjectList> list(std::string_view prefix, std::string_view after,
                                 std::size_t most) override;
  PlatformReply<ObjectList> watch(std::string_view prefix, std::uint64_t since,
                                  Millis wait) override;
  PlatformReply<HostList> hosts() override;

 private:
  template <typename T, typename Call>
  PlatformReply<T> guard(const Call& call);
  bool allowCall();

  PlatformPort& platform_;
  std::atomic<Instant::rep> openUntil_{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PLATFORM_PLATFORMBREAKER_H
