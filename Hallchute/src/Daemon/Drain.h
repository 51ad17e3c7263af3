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

/// \brief A planned stop that interrupts no request in progress.
/// \ingroup Daemon
///
/// The readiness check fails first, so that the load balancer routes callers to other daemons; new
/// requests are still served for a short time. Running answers have drainLimitMs to complete; the
/// remaining ones are handed over to a peer, and the caller is redirected only after the peer has
/// acknowledged. Calls to plain services are waited for.
class Drain {
 public:
  Drain(CallerServices& services, Control& control, CallerServer& server);
  /// \brief Blocks until no request is running on this daemon, or \p stopNow is set.
  /// \param limit the time for answers to complete; the caller shortens it ahead of a reclaim.
  void run(Millis limit, const std::atomic<bool>& stopNow);

 private:
  bool waitForAnswers(Instant until, const std::atomic<bool>& stopNow);
  void handOverAll();
  void finishAndClose(const std::atomic<bool>& stopNow);

  CallerServices& services_;
  Control& control_;
  CallerServer& server_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_DRAIN_H
