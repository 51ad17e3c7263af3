// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/DescriptorLimit.h"

#include <sys/resource.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <system_error>

#include "Hallchute/src/Observability/LogLine.h"

namespace Hallchute {

std::size_t raiseDescriptorLimit(std::size_t wanted) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    LogLine(LogLevel::error, "daemon.descriptors")
        .with("detail", std::generic_category().message(errno));
    return wanted;
  }
  if (limit.rlim_cur >= wanted) return wanted;
  rlimit raised = limit;
  raised.rlim_cur = std::min<rlim_t>(limit.rlim_max, wanted);
  if (setrlimit(RLIMIT_NOFILE, &raised) == 0) {
    limit = raised;
  } else {
    LogLine(LogLevel::error, "daemon.descriptors")
        .with("detail", std::generic_category().message(errno));
  }
  if (limit.rlim_cur >= wanted) return wanted;
  LogLine(LogLevel::warning, "daemon.descriptors")
      .with("limit", static_cast<std::uint64_t>(limit.rlim_cur))
      .with("setting", wanted);
  return limit.rlim_cur;
}

}  // namespace Hallchute
