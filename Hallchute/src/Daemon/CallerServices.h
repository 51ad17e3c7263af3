// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_CALLERSERVICES_H
#define HALLCHUTE_DAEMON_CALLERSERVICES_H

#include <atomic>

namespace Hallchute {

class JobRecords;
class JobStarter;
class OnceRecordStore;
class PeerJobs;
struct TrafficContext;

/// \brief What the handlers of callers' requests use.
/// \ingroup Daemon
struct CallerServices {
  TrafficContext& context;
  JobStarter& starter;
  JobRecords& records;
  PeerJobs& peers;
  OnceRecordStore& onceRecords;
  /// Set when the daemon begins to stop: the balancer is told to send callers elsewhere.
  std::atomic<bool> draining{false};
  /// Set a moment later: new requests are refused.
  std::atomic<bool> closed{false};
  /// Calls to plain services that run now.
  std::atomic<int> plainCalls{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_CALLERSERVICES_H
