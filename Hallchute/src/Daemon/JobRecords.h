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

/// \brief Keeps the platform's records of requests that must outlive their daemon. Any thread.
/// \ingroup Daemon
///
/// The record names its holder. Another daemon takes the request on by a conditional write with a
/// higher generation; the old holder's writes fail from then on and it lets the request go.
class JobRecords {
 public:
  explicit JobRecords(TrafficContext& context);

  /// \brief Creates the record of a job. \returns whether it surely stands.
  bool create(const Job& job, std::uint64_t generation = 1);
  /// \brief Writes the record of a job that goes to \p peer, in case the peer dies with it.
  void recordHandOver(const Job& job, const DaemonId& peer);
  /// \brief Takes the record of a job over that another daemon handed here.
  void scheduleTakeOver(const RequestId& request);
  /// \brief Writes what has changed of the jobs that have a record.
  void checkpoint();
  /// \brief Claims running records whose holder is gone. \returns the jobs now held here.
  std::vector<HandOverRecord> claimOrphans(Instant now);
  /// \brief The record of a request, if it can be read.
  std::variant<HandOverRecord, Refusal> find(const RequestId& request);
  /// \brief Records not yet written as they stand.
  std::size_t unsavedCount() const;

 private:
  struct Kept {
    std::uint64_t version = 0;
    std::uint64_t generation = 1;
    std::size_t savedTokens = 0;
    bool savedEnd = false;
    Instant savedAt{};
  };

  void takeOver(const RequestId& request);

  bool save(const Job& job, Kept& kept);
  bool holderIsGone(const HandOverRecord& record, Instant now);
  bool claim(HandOverRecord& record, std::uint64_t version);

  TrafficContext& context_;
  mutable std::mutex mutex_;
  std::map<RequestId, Kept> kept_;
  std::vector<RequestId> toTakeOver_;
  std::map<DaemonId, Instant> goneSince_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_JOBRECORDS_H
