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

/// \brief A generation as a caller asked for it, after its checks.
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
  /// What ties requests of one session together; empty: the first block of the prompt.
  std::string session;
};

/// \brief The specification of a job, with the numbers in force.
/// \ingroup Daemon
JobSpec makeJobSpec(const JobParameters& wish, const SettingsTree& tree, const DomainName& domain);

/// \brief Makes a job of a record that another daemon left.
/// \ingroup Daemon
std::shared_ptr<Job> makeJob(const HandOverRecord& record, const SettingsTree& tree,
                             const DomainName& domain);

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_JOBFACTORY_H
