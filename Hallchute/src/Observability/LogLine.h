// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_OBSERVABILITY_LOGLINE_H
#define HALLCHUTE_OBSERVABILITY_LOGLINE_H

#include <cstdint>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Observability/Log.h"

namespace Hallchute {

/// \brief Which lines are dropped first when there are too many. \ingroup Observability
enum class LogPriority {
  ordinary,
  /// How a request ended that wasn't served; dropped only after all ordinary lines.
  outcome,
};

/// \brief A structured log line: an event and its members, such as a decision, its inputs and its
/// outcome.
/// \ingroup Observability
///
/// The destructor writes the line. Thread-safe; never blocks on output.
class LogLine {
 public:
  /// \param event a stable lower-case name, such as `request.end`.
  LogLine(LogLevel level, std::string_view event, LogPriority priority = LogPriority::ordinary);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  LogLine& with(std::string_view key, std::string_view value);
  LogLine& with(std::string_view key, const char* value);
  LogLine& with(std::string_view key, std::int64_t value);
  LogLine& with(std::string_view key, std::uint64_t value);
  LogLine& with(std::string_view key, int value);
  LogLine& with(std::string_view key, bool value);
  /// \brief Written in milliseconds; the key should end in `Ms`.
  LogLine& with(std::string_view key, Millis value);

 private:
  LogLevel level_;
  bool enabled_;
  std::string text_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_OBSERVABILITY_LOGLINE_H
