// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/JobStarter.h"

#include <thread>

#include "Hallchute/src/Daemon/AnswerRunner.h"
#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Daemon/JobRecords.h"
#include "Hallchute/src/Daemon/JobTable.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {
namespace {

constexpr Millis kShutdownTimeout{10'000};

}  // namespace

JobStarter::JobStarter(TrafficContext& context, JobRecords& records)
    : context_(context), records_(records) {}

JobStarter::~JobStarter() {
  waitIdle(kShutdownTimeout);
}

void JobStarter::start(const JobPtr& job) {
  context_.jobs.add(job);
  launch(job);
}

void JobStarter::resume(const JobPtr& job) {
  job->resume();
  launch(job);
}

void JobStarter::launch(const JobPtr& job) {
  {
    const std::lock_guard lock(mutex_);
    ++running_;
    context_.metrics.set("hallchute_jobs_running", "", running_);
  }
  std::thread([this, job] {
    AnswerRunner(context_, job).run();
    const std::lock_guard lock(mutex_);
    --running_;
    context_.metrics.set("hallchute_jobs_running", "", running_);
    idle_.notify_all();
  }).detach();
}

bool JobStarter::waitIdle(Millis limit) {
  std::unique_lock lock(mutex_);
  return idle_.wait_for(lock, limit, [this] { return running_ == 0; });
}

}  // namespace Hallchute
