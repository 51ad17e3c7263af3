// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PLATFORM_PLATFORMBREAKER_H
#define HALLCHUTE_PLATFORM_PLATFORMBREAKER_H

#include <atomic>

#include "Hallchute/src/Ports/PlatformPort.h"

namespace Hallchute {

/// \brief Answers for a platform that is out, so that callers get their refusal at once.
/// \ingroup Platform
///
/// After a call that found the platform silent or unreachable, calls of the next kOpenFor are
/// refused as unavailable without being made; then one is let through to see. A connection that
/// the platform closed does not open it: there a reply was lost and must be read again. Watches
/// wait by their nature and pass unguarded. Any thread.
class PlatformBreaker final : public PlatformPort {
 public:
  static constexpr Millis kOpenFor{500};

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
  bool mayCall();

  PlatformPort& platform_;
  std::atomic<Instant::rep> openUntil_{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PLATFORM_PLATFORMBREAKER_H
