// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_JOBFACTORY_H
#define HALLCHUTE_DAEMON_JOBFACTORY_H

#include <cstdint>
#include <memory>
#include <string>

#include "Hallchute/src/Daemon/JobSpec.h"
#include "Hallchute/src/Recovery/HandOverRecord.h"
#include "Hallchute/src/Settings/SettingsTree.h"

namespace Hallchute {

class Job;

/// \brief A validated generation request, the input of makeJobSpec().
/// \ingroup Daemon
struct JobParameters {
  RequestId request;
  const Organisation* organisation = nullptr;
  const WorkClass* workClass = nullptr;
  ServiceName service;
  bool chat = true;
  bool durable = false;
  std::string prompt;
  std::size_t maxTokens = 0;
  /// Affinity key shared by the requests of one session; if empty, the first block of the prompt is
  /// used.
  std::string session;
};

/// \brief Builds the specification of a job with the policy values in effect.
/// \ingroup Daemon
JobSpec makeJobSpec(const JobParameters& parameters, const SettingsTree& tree,
                    const FailureDomainName& domain);

/// \brief Creates a job that resumes from the record of another daemon.
/// \ingroup Daemon
std::shared_ptr<Job> makeJob(const HandOverRecord& record, const SettingsTree& tree,
                             const FailureDomainName& domain);

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_JOBFACTORY_H
