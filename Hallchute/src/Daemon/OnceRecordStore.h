// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_ONCERECORDSTORE_H
#define HALLCHUTE_DAEMON_ONCERECORDSTORE_H

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include "Hallchute/src/Ledger/OnceEvent.h"
#include "Hallchute/src/Ledger/OnceRecord.h"

namespace Hallchute {

struct TrafficContext;

/// \brief Reads and writes the records of requests that must run at most once. Thread-safe.
/// \ingroup Daemon
///
/// Outcomes that could not be stored are kept in memory, at most kMaxPending of them, and retried
/// by flush(); beyond the limit the oldest is dropped. If the daemon crashes before one is stored,
/// a retry by the caller is correctly answered with an unknown outcome.
class OnceRecordStore {
 public:
  static constexpr std::size_t kMaxPending = 10'000;

  explicit OnceRecordStore(TrafficContext& context);
  OnceEvent write(const std::string& key, const OnceRecord& record, std::uint64_t ifVersion);
  OnceEvent read(const std::string& key);
  /// \brief Queues \p record to be stored by flush().
  void storeLater(const std::string& key, const OnceRecord& record);
  /// \brief Retries the pending records in order until one fails.
  /// \returns the number of records still pending.
  std::size_t flush();

 private:
  struct PendingRecord {
    std::string key;
    OnceRecord record;
  };

  bool storePending(const PendingRecord& pending);

  TrafficContext& context_;
  std::mutex mutex_;
  std::deque<PendingRecord> pending_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_ONCERECORDSTORE_H
