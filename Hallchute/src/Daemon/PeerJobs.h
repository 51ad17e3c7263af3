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

/// \brief Hands jobs over to peer daemons and reads the output of jobs that run on them.
/// \ingroup Daemon
class PeerJobs {
 public:
  PeerJobs(Control& control, TrafficContext& context, JobStarter& starter, JobRecords& records);

  /// \brief Offers a record to peers until one accepts it, peers of the local domain first.
  /// \returns the peer that accepted, or an empty id. Blocks; must not be called on the event loop.
  DaemonId handOver(const HandOverRecord& record);
  /// \brief Searches the peers for a job.
  /// \returns a local job that mirrors the peer's output, or null if no peer has the job. Blocks;
  /// must not be called on the event loop.
  JobPtr attach(const RequestId& request, const OrganisationName& organisation);

 private:
  struct Peer {
    DaemonId id;
    std::string address;
  };

  /// The live peers to try for a request, in order: local domain first, then by rendezvous rank.
  std::vector<Peer> rankedPeers(const RequestId& request);
  bool offerHandOver(const Peer& peer, const std::string& record);
  void serveHandOver(const PeerStreamPtr& stream);
  void serveAttach(const PeerStreamPtr& stream);

  Control& control_;
  TrafficContext& context_;
  JobStarter& starter_;
  JobRecords& records_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_PEERJOBS_H
