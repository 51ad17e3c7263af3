// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_JOBSPEC_H
#define HALLCHUTE_DAEMON_JOBSPEC_H

#include <cstdint>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief A requested generation. Immutable while the job runs.
/// \ingroup Daemon
struct JobSpec {
  RequestId request;
  OrganisationName organisation;
  ServiceName service;
  WorkClassName workClass;
  double weight = 1;
  std::int64_t priority = 5;
  bool durable = false;
  bool chat = true;
  std::string prompt;
  std::size_t promptTokens = 0;
  std::vector<std::uint64_t> prefixHashes;
  std::uint64_t affinity = 0;
  std::size_t maxTokens = 0;
  Instant accepted{};
  Instant deadline{};
  Millis queueLimit{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_JOBSPEC_H
