// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_FLEETCLOCK_H
#define HALLCHUTE_FLEET_FLEETCLOCK_H

#include <optional>
#include <vector>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Fleet-wide wall clock: the median of the hosts' wall clocks. Not thread-safe; does no
/// I/O and reads no clock itself. \ingroup Fleet
///
/// Advances with the monotonic clock, so that setting a host's wall clock doesn't move it. A
/// changed median is adopted only after a delay, as a daemon without peers can't tell a temporary
/// step from a correction. Cost: each adjust() sorts the offsets.
class FleetClock {
 public:
  /// \brief Updates the offset from the daemons' wall clocks; the first call sets it.
  /// \param offsets how far each wall clock is ahead of this host's monotonic clock, in ms,
  ///        including this host's own.
  /// \param starting whether peers are still being discovered: a changed median is then adopted
  ///        at once.
  void adjust(std::vector<Millis> offsets, bool starting, Instant now);
  /// \brief Time since the Unix epoch. \param now at or after the first adjust().
  Millis at(Instant now) const;
  /// \brief Offset from this host's monotonic clock, in ms.
  Millis offset() const { return offset_.value_or(Millis(0)); }

 private:
  std::optional<Millis> offset_;
  /// When the median began to differ from offset_ by more than the tolerance.
  std::optional<Instant> divergedSince_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETCLOCK_H
