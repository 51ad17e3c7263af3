// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_OBSERVABILITY_LOG_H
#define HALLCHUTE_OBSERVABILITY_LOG_H

#include <string_view>

namespace Hallchute {

/// \brief How grave a log line is.
/// \ingroup Observability
enum class LogLevel { debug, info, warning, error };

/// \brief The level that a start-up file names; `info` if it is none.
/// \ingroup Observability
LogLevel logLevelNamed(std::string_view word);

/// \brief Sends logs to standard output, a JSON object a line.
/// \ingroup Observability
///
/// A thread of its own writes them: nobody else ever waits for a reader. Lines that find no room
/// are dropped.
/// \param least lines below it are left out.
/// \param daemon, domain members of every line.
void startLogging(LogLevel least, std::string_view daemon, std::string_view domain);

/// \brief Writes one line. Context comes from the LogContext objects of the calling thread.
/// \ingroup Observability
void logLine(LogLevel level, std::string_view message);

namespace internal {
/// \brief What LogLine puts into every line, and the least level it writes.
void setLogOrigin(LogLevel least, std::string_view daemon, std::string_view domain);
}  // namespace internal

}  // namespace Hallchute

#endif  // HALLCHUTE_OBSERVABILITY_LOG_H
