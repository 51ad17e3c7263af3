// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_OBSERVEDWORK_H
#define HALLCHUTE_GATEWAY_OBSERVEDWORK_H

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

struct UpstreamLoad;

/// \brief What one daemon observed of an upstream's speed, as sums that decay exponentially.
/// \ingroup Gateway
///
/// Sums of several daemons can be added, since all decay alike. No clock. Cost: constant.
class ObservedWork {
 public:
  /// Time in which an observation loses 63% of its weight. An engine that turns five times as slow
  /// is seen within 2 s; with 6 s, its queue outlived the slowness by another 5 s in replays.
  static constexpr Millis kTimeConstant{2'500};

  /// \brief Adds a response: the work that had to be done before it began, and the time it took.
  void addWork(double work, Millis time, Instant now);
  /// \brief Adds the pauses between events of a stream.
  void addPauses(double pauses, Millis time, Instant now);
  /// \brief Sets the sums in \p load to their values at \p now.
  void writeTo(UpstreamLoad& load, Instant now) const;

 private:
  /// The factor by which the sums have decayed since they were last updated.
  double decayAt(Instant now) const;
  void decay(Instant now);

  Instant at_{};
  double work_ = 0;
  double workMs_ = 0;
  double responses_ = 0;
  double pauses_ = 0;
  double pauseMs_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_OBSERVEDWORK_H
