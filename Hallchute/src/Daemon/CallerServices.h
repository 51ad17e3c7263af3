// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_CALLERSERVICES_H
#define HALLCHUTE_DAEMON_CALLERSERVICES_H

#include <atomic>

namespace Hallchute {

class BodyMemory;
class JobRecords;
class JobStarter;
class OnceRecordStore;
class PeerJobs;
struct TrafficContext;

/// \brief The services shared by the handlers of callers' requests.
/// \ingroup Daemon
struct CallerServices {
  TrafficContext& context;
  JobStarter& starter;
  JobRecords& records;
  PeerJobs& peers;
  OnceRecordStore& onceRecords;
  BodyMemory& bodies;
  /// Set when the daemon begins to drain: readiness checks fail from then on, so that the load
  /// balancer routes callers to other daemons.
  std::atomic<bool> draining{false};
  /// Set once the load balancer has had time to react: new requests are refused.
  std::atomic<bool> rejectsNewRequests{false};
  /// Calls to plain services in progress.
  std::atomic<int> plainCalls{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_CALLERSERVICES_H
