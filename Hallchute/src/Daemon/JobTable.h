// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_JOBTABLE_H
#define HALLCHUTE_DAEMON_JOBTABLE_H

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

class Job;
using JobPtr = std::shared_ptr<Job>;

/// \brief The jobs of this daemon; ended jobs are retained for one minute. Thread-safe.
/// \ingroup Daemon
class JobTable {
 public:
  void add(const JobPtr& job);
  JobPtr find(const RequestId& request) const;
  std::vector<JobPtr> all() const;
  /// \brief Jobs that have not ended on this daemon.
  std::vector<JobPtr> running() const;
  /// \brief Removes jobs that ended too long ago; cancels unread jobs that are not durable.
  void sweep(Instant now);

 private:
  mutable std::mutex mutex_;
  std::map<RequestId, JobPtr> jobs_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_JOBTABLE_H
