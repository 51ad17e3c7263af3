// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_JOBRECORDS_H
#define HALLCHUTE_DAEMON_JOBRECORDS_H

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Refusal.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Recovery/HandOverRecord.h"

namespace Hallchute {

class Job;
using JobPtr = std::shared_ptr<Job>;
struct TrafficContext;

/// \brief Stores records on the platform of requests that must survive the failure of their daemon.
/// \ingroup Daemon
///
/// Thread-safe. The record names its holder. Another daemon takes over the request by a conditional
/// write with a higher generation. From then on the writes of the former holder fail, and it stops
/// writing the record.
class JobRecords {
 public:
  explicit JobRecords(TrafficContext& context);

  /// \brief Creates the record of a job. \returns true if the record is known to be stored.
  bool create(const Job& job, std::uint64_t generation = 1);
  /// \brief Writes the record of a job handed over to \p peer, so that the job survives a failure
  /// of the peer.
  void recordHandOver(const Job& job, const DaemonId& peer);
  /// \brief Schedules the take-over of the record of a job that another daemon has handed over. The
  /// next checkpoint() performs it.
  void scheduleTakeOver(const RequestId& request);
  /// \brief Performs scheduled take-overs and writes the records of changed jobs.
  void checkpoint();
  /// \brief Claims records in state `running` whose holder is gone. \returns the claimed records.
  std::vector<HandOverRecord> claimOrphans(Instant now);
  /// \brief Reads the record of a request from the platform.
  std::variant<HandOverRecord, Refusal> find(const RequestId& request);
  /// \brief Number of records whose final state is not yet written.
  std::size_t unsavedCount() const;

 private:
  struct RecordState {
    std::uint64_t version = 0;
    std::uint64_t generation = 1;
    std::size_t savedTokens = 0;
    bool savedFinal = false;
    Instant savedAt{};
  };

  void takeOver(const RequestId& request);

  bool save(const Job& job, RecordState& recordState);
  bool isHolderGone(const HandOverRecord& record, Instant now);
  bool claim(HandOverRecord& record, std::uint64_t version);

  TrafficContext& context_;
  mutable std::mutex mutex_;
  std::map<RequestId, RecordState> records_;
  std::vector<RequestId> pendingTakeOvers_;
  std::map<DaemonId, Instant> holderMissingSince_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_JOBRECORDS_H
