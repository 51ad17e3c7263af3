// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_FLEETCLOCK_H
#define HALLCHUTE_FLEET_FLEETCLOCK_H

#include <optional>
#include <vector>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The wall clock that daemons share: the median of their hosts' clocks. One thread; no I/O,
/// reads no clock. \ingroup Fleet
///
/// It runs by the monotonic clock, so that setting a host's clock doesn't move it. A median that
/// moves is followed after a while only: a daemon that hears no others can't tell a step that is
/// taken back soon from a correction. Cost: a sort of the clocks for each adjust().
class FleetClock {
 public:
  /// \brief Compares with the daemons' clocks.
  /// \param offsets how far each wall clock is ahead of this host's monotonic one, in ms; the own
  ///        host's among them. The first call sets the clock.
  /// \param starting whether the others are still being met: a median that moves is no step then.
  void adjust(std::vector<Millis> offsets, bool starting, Instant now);
  /// \brief Time since the start of 1970. \param now at or after the first adjust().
  Millis at(Instant now) const;
  /// \brief How far the clock is ahead of this host's monotonic one, in ms.
  Millis offset() const { return offset_.value_or(Millis(0)); }

 private:
  std::optional<Millis> offset_;
  /// Since when the median has been elsewhere.
  std::optional<Instant> elsewhereSince_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETCLOCK_H
