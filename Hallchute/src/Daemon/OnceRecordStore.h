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

/// \brief Reads and writes the records of work that must not repeat. Any thread.
/// \ingroup Daemon
///
/// Outcomes that could not be stored wait here, at most kMaxWaiting of them, and are tried again.
/// If this daemon dies first, a retry of the caller is told that the outcome is unknown, which is
/// true.
class OnceRecordStore {
 public:
  static constexpr std::size_t kMaxWaiting = 10'000;

  explicit OnceRecordStore(TrafficContext& context);
  OnceEvent write(const std::string& key, const OnceRecord& record, std::uint64_t ifVersion);
  OnceEvent read(const std::string& key);
  /// \brief Stores \p record when the platform lets it.
  void storeLater(const std::string& key, const OnceRecord& record);
  /// \brief Tries what waits. \returns how much still does.
  std::size_t flush();

 private:
  struct Waiting {
    std::string key;
    OnceRecord record;
  };

  bool store(const Waiting& waiting);

  TrafficContext& context_;
  std::mutex mutex_;
  std::deque<Waiting> waiting_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_ONCERECORDSTORE_H
