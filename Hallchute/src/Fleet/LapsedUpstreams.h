// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_LAPSEDUPSTREAMS_H
#define HALLCHUTE_FLEET_LAPSEDUPSTREAMS_H

#include <span>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

/// \brief Retains upstreams whose entries expired during an outage of the store. Does no I/O and
/// reads no clock. \ingroup Fleet
///
/// Running upstreams that could not write to the store are missing from its first list after an
/// outage; they register again within kReregistrationTime. An upstream that is still missing then
/// is gone.
class LapsedUpstreams {
 public:
  /// The time that the platform states for upstreams to register again in a recovered store, and a
  /// margin for the update to arrive.
  static constexpr Millis kReregistrationTime{2'200};

  /// \brief Starts the retention; the store answers again after an outage seen by all daemons.
  void noteStoreRecovery(Instant now) { activeUntil_ = now + kReregistrationTime; }
  bool isActive(Instant now) const { return now < activeUntil_; }
  Instant activeUntil() const { return activeUntil_; }
  /// \brief Returns \p listed and, while active, those upstreams of \p before that it lacks.
  std::vector<UpstreamRecord> merge(std::vector<UpstreamRecord> listed,
                                    std::span<const UpstreamRecord> before, Instant now) const;

 private:
  Instant activeUntil_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_LAPSEDUPSTREAMS_H
