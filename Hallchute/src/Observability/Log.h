// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_OBSERVABILITY_LOG_H
#define HALLCHUTE_OBSERVABILITY_LOG_H

#include <string_view>

namespace Hallchute {

/// \brief The severity of a log line.
/// \ingroup Observability
enum class LogLevel { debug, info, warning, error };

/// \brief Parses the log level in a start-up file; `info` if \p name is not a level.
/// \ingroup Observability
LogLevel parseLogLevel(std::string_view name);

/// \brief Starts writing logs to standard output, one JSON object per line.
/// \ingroup Observability
///
/// A background thread writes the lines, so that a slow reader never blocks the calling threads.
/// Lines are dropped while the queue is full.
/// \param minLevel lines below this level are discarded.
/// \param daemon, domain added to every line.
void startLogging(LogLevel minLevel, std::string_view daemon, std::string_view domain);

/// \brief Writes \p message as one line, with the calling thread's LogContext members.
/// \ingroup Observability
void logMessage(LogLevel level, std::string_view message);

namespace internal {
/// \brief Sets the members that LogLine adds to every line, and the lowest level that it writes.
void configureLogLines(LogLevel minLevel, std::string_view daemon, std::string_view domain);
}  // namespace internal

}  // namespace Hallchute

#endif  // HALLCHUTE_OBSERVABILITY_LOG_H
