// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ADMISSION_TOKENBUCKET_H
#define HALLCHUTE_ADMISSION_TOKENBUCKET_H

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief A token bucket with a burst of one second's worth.
/// \ingroup Admission
///
/// One request may overdraw it, so that a request larger than the burst is still admitted. Later
/// ones wait until the deficit is refilled.
class TokenBucket {
 public:
  /// \param perSecond tokens per second; 0 for no limit.
  void setRate(double perSecond, Instant now);
  /// \brief Takes \p amount unless the bucket is overdrawn.
  /// \returns zero if taken, else the time until the deficit is refilled.
  Millis take(double amount, Instant now);
  /// \brief Returns tokens that were taken for a request that did not run.
  void refund(double amount);

 private:
  void refill(Instant now);

  double tokensPerSecond_ = 0;
  double available_ = 0;
  Instant lastRefill_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_TOKENBUCKET_H
