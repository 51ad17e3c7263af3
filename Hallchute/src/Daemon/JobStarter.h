// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_JOBSTARTER_H
#define HALLCHUTE_DAEMON_JOBSTARTER_H

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

class Job;
using JobPtr = std::shared_ptr<Job>;
class JobRecords;
struct TrafficContext;

/// \brief Runs each job on a thread of its own. Thread-safe.
/// \ingroup Daemon
class JobStarter {
 public:
  JobStarter(TrafficContext& context, JobRecords& records);
  ~JobStarter();
  JobStarter(const JobStarter&) = delete;
  JobStarter& operator=(const JobStarter&) = delete;

  /// \brief Adds \p job to the job table and runs it.
  void start(const JobPtr& job);
  /// \brief Resumes a paused job.
  void resume(const JobPtr& job);
  /// \brief Waits until no job is running. \returns false on timeout.
  bool waitIdle(Millis limit);

 private:
  void launch(const JobPtr& job);

  TrafficContext& context_;
  JobRecords& records_;
  std::mutex mutex_;
  std::condition_variable idle_;
  int running_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_JOBSTARTER_H
