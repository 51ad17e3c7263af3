// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/JobTable.h"

#include "Hallchute/src/Daemon/Job.h"

namespace Hallchute {
namespace {

/// An answer can be fetched again this long after its end.
constexpr Millis kKeepEnded{60'000};
/// A caller that lost its connection may come back within this time.
constexpr Millis kKeepUnread{15'000};

bool hasEnded(JobStage stage) {
  return stage == JobStage::finished || stage == JobStage::refused || stage == JobStage::handedOver;
}

}  // namespace

void JobTable::add(const JobPtr& job) {
  const std::lock_guard lock(mutex_);
  jobs_[job->spec().request] = job;
}

JobPtr JobTable::find(const RequestId& request) const {
  const std::lock_guard lock(mutex_);
  const auto it = jobs_.find(request);
  return it == jobs_.end() ? nullptr : it->second;
}

std::vector<JobPtr> JobTable::all() const {
  const std::lock_guard lock(mutex_);
  std::vector<JobPtr> found;
  found.reserve(jobs_.size());
  for (const auto& [request, job] : jobs_) found.push_back(job);
  return found;
}

std::vector<JobPtr> JobTable::running() const {
  std::vector<JobPtr> found = all();
  std::erase_if(found, [](const JobPtr& job) { return hasEnded(job->stage()); });
  return found;
}

void JobTable::sweep(Instant now) {
  for (const JobPtr& job : running()) {
    if (!job->spec().durable && job->abandonedFor(kKeepUnread, now)) job->requestCancel();
  }
  const std::lock_guard lock(mutex_);
  std::erase_if(jobs_, [&](const auto& entry) {
    return hasEnded(entry.second->stage()) && now - entry.second->endedAt() >= kKeepEnded;
  });
}

}  // namespace Hallchute
