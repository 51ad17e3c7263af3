// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef REVIEW_STANDIN_RECORD_H
#define REVIEW_STANDIN_RECORD_H

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace Review {

using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using Millis = std::chrono::milliseconds;

/// \brief What was sent, answered and run, one line each with the time since the start. Any thread.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path), start_(Clock::now()) {}

  void add(const std::string& line) {
    const std::lock_guard lock(mutex_);
    out_ << seconds(Clock::now()) << " s  " << line << "\n" << std::flush;
  }
  /// \brief Time since the start, in seconds.
  double seconds(Instant at) const { return std::chrono::duration<double>(at - start_).count(); }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  Instant start_;
};

/// \brief What an exit code of a case says.
inline const char* verdictName(int exitCode) {
  if (exitCode == 0) return "held";
  return exitCode == 1 ? "broken" : "could not run";
}

}  // namespace Review

#endif  // REVIEW_STANDIN_RECORD_H
