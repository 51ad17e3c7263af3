// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_LAPSEDUPSTREAMS_H
#define HALLCHUTE_FLEET_LAPSEDUPSTREAMS_H

#include <span>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

/// \brief Keeps upstreams whose entries lapsed while the store was away. No I/O, no clock.
/// \ingroup Fleet
///
/// Entries of upstreams that live and could not write to the store are missing from its first list
/// after an outage; they come back within kBackWithin. One that is still missing then is gone.
class LapsedUpstreams {
 public:
  /// The time in which upstreams write themselves into a store that returned, as the platform
  /// states it, and a little for the news to arrive.
  static constexpr Millis kReregistrationTime{2'200};

  /// \brief The store answers again after nobody heard of it for a while.
  void noteStoreRecovery(Instant now) { until_ = now + kReregistrationTime; }
  bool holds(Instant now) const { return now < until_; }
  Instant until() const { return until_; }
  /// \brief \p listed and, soon after a return, those of \p before that it lacks.
  std::vector<UpstreamRecord> merge(std::vector<UpstreamRecord> listed,
                                    std::span<const UpstreamRecord> before, Instant now) const;

 private:
  Instant until_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_LAPSEDUPSTREAMS_H
