// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_RETRYWINDOW_H
#define HALLCHUTE_GATEWAY_RETRYWINDOW_H

#include <cstddef>
#include <deque>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The fleet's bound on repeats, as the operator's platform states it. \ingroup Gateway
struct RetryAllowance {
  /// Repeats per request.
  double ratio = 0.2;
  /// Repeats in a window on top, over all daemons.
  double slack = 0;
  Millis window{10'000};
};

/// \brief One daemon's part of a service's retry budget in a sliding window. \ingroup Gateway
///
/// A daemon may repeat by its own requests of the window, plus its part of the fleet's slack. The
/// sum over all daemons then stays within the bound whatever each of them sees of the others.
class RetryWindow {
 public:
  void noteRequest(Instant now) { requests_.push_back(now); }
  /// \brief Takes a repeat if the budget has one left.
  /// \param daemons how many share the slack.
  bool takeRepeat(const RetryAllowance& allowance, std::size_t daemons, Instant now);

 private:
  std::deque<Instant> requests_;
  std::deque<Instant> repeats_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_RETRYWINDOW_H
