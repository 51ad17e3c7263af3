// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/PlatformHealth.h"

namespace Hallchute {
namespace {

constexpr Millis kFreshFor{12'000};
constexpr Millis kStaleFor{30'000};

}  // namespace

Freshness PlatformHealth::freshness(Instant now) const {
  const Instant::rep last = last_;
  if (last == 0) return Freshness::out;
  const auto age = now - Instant(Instant::duration(last));
  if (age <= kFreshFor) return Freshness::fresh;
  return age <= kStaleFor ? Freshness::stale : Freshness::out;
}

std::string_view freshnessWord(Freshness freshness) {
  switch (freshness) {
    case Freshness::fresh:
      return "fresh";
    case Freshness::stale:
      return "stale";
    case Freshness::out:
      break;
  }
  return "out";
}

}  // namespace Hallchute
