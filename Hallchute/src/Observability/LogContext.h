// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_OBSERVABILITY_LOGCONTEXT_H
#define HALLCHUTE_OBSERVABILITY_LOGCONTEXT_H

#include <log4cxx/mdc.h>

#include <string>

namespace Hallchute {

/// \brief Adds a member to every log line of this thread while it lives.
/// \ingroup Observability
class LogContext {
 public:
  LogContext(const std::string& key, const std::string& value) : entry_(key, value) {}

 private:
  log4cxx::MDC entry_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_OBSERVABILITY_LOGCONTEXT_H
