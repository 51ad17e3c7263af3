// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_DRAIN_H
#define HALLCHUTE_DAEMON_DRAIN_H

#include <atomic>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

class CallerServer;
struct CallerServices;
class Control;

/// \brief A planned stop: cuts off no request in flight.
/// \ingroup Daemon
///
/// Readiness goes first, so that the balancer sends callers elsewhere; new requests are still
/// served for a moment. Running answers get drainLimitMs; those left are handed to a peer, which
/// acknowledges before the caller is told where to go on. Calls to plain services are waited for.
class Drain {
 public:
  Drain(CallerServices& services, Control& control, CallerServer& server);
  /// \brief Blocks until nothing runs here any more, or \p hurry is set.
  /// \param limit the longest time for answers; shortened to fit before a reclaim.
  void run(Millis limit, const std::atomic<bool>& hurry);

 private:
  bool waitForAnswers(Instant until, const std::atomic<bool>& hurry);
  void handOverAll();
  void waitForCallers(const std::atomic<bool>& hurry);

  CallerServices& services_;
  Control& control_;
  CallerServer& server_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_DRAIN_H
