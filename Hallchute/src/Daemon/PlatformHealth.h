// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_PLATFORMHEALTH_H
#define HALLCHUTE_DAEMON_PLATFORMHEALTH_H

#include <atomic>
#include <string_view>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief How well this daemon's word from the platform still holds.
/// \ingroup Daemon
enum class Freshness { fresh, stale, out };

/// \brief Remembers when the platform last answered. Any thread.
/// \ingroup Daemon
class PlatformHealth {
 public:
  void recordAnswer(Instant now) { last_ = now.time_since_epoch().count(); }
  /// \brief Fresh up to 12 s after an answer, stale up to 30 s, then out.
  Freshness freshness(Instant now) const;

 private:
  std::atomic<Instant::rep> last_{0};
};

std::string_view freshnessWord(Freshness freshness);

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_PLATFORMHEALTH_H
