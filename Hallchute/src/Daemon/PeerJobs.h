// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_PEERJOBS_H
#define HALLCHUTE_DAEMON_PEERJOBS_H

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Net/PeerStream.h"
#include "Hallchute/src/Recovery/HandOverRecord.h"

namespace Hallchute {

class Control;
class Job;
using JobPtr = std::shared_ptr<Job>;
class JobRecords;
class JobStarter;
struct TrafficContext;

/// \brief Jobs across daemons: handed to a peer, read at a peer.
/// \ingroup Daemon
class PeerJobs {
 public:
  PeerJobs(Control& control, TrafficContext& context, JobStarter& starter, JobRecords& records);

  /// \brief Hands a record to the first peer that takes it, those of the own domain first.
  /// \returns the peer, empty if none did. Blocks; any thread but the loop's.
  DaemonId handOver(const HandOverRecord& record);
  /// \brief Finds a job at a peer. \returns a job that shows its answer, null if no peer has it.
  /// Blocks; any thread but the loop's.
  JobPtr attach(const RequestId& request, const OrganisationName& organisation);

 private:
  struct Peer {
    DaemonId id;
    std::string address;
  };

  std::vector<Peer> peersFor(const RequestId& request);
  bool offer(const Peer& peer, const std::string& record);
  void serveHandOver(const PeerStreamPtr& stream);
  void serveAttach(const PeerStreamPtr& stream);

  Control& control_;
  TrafficContext& context_;
  JobStarter& starter_;
  JobRecords& records_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_PEERJOBS_H
