// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/PlatformHealth.h"

namespace Hallchute {
namespace {

constexpr Millis kMaxFreshAge{12'000};
constexpr Millis kMaxStaleAge{30'000};

}  // namespace

Freshness PlatformHealth::freshness(Instant now) const {
  const Instant::rep last = lastAnswer_;
  if (last == 0) return Freshness::expired;
  const auto age = now - Instant(Instant::duration(last));
  if (age <= kMaxFreshAge) return Freshness::fresh;
  return age <= kMaxStaleAge ? Freshness::stale : Freshness::expired;
}

std::string_view freshnessWord(Freshness freshness) {
  switch (freshness) {
    case Freshness::fresh:
      return "fresh";
    case Freshness::stale:
      return "stale";
    case Freshness::expired:
      break;
  }
  return "out";
}

}  // namespace Hallchute
