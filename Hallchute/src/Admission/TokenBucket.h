// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ADMISSION_TOKENBUCKET_H
#define HALLCHUTE_ADMISSION_TOKENBUCKET_H

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief A rate limit with a burst of one second's worth.
/// \ingroup Admission
///
/// It may go into debt by one request, so a request larger than the burst is still served, and the
/// ones after it wait for the debt to be paid.
class TokenBucket {
 public:
  /// \param perSecond 0 is no limit.
  void setRate(double perSecond, Instant now);
  /// \brief Takes \p amount if nothing is owed.
  /// \returns zero if taken, else the time until nothing is owed.
  Millis take(double amount, Instant now);
  /// \brief Returns what was taken for work that did not run.
  void giveBack(double amount);

 private:
  void refill(Instant now);

  double perSecond_ = 0;
  double level_ = 0;
  Instant last_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_TOKENBUCKET_H
