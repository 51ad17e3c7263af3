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

/// \brief One structured log line: what was decided or learned, from what, with what outcome.
/// \ingroup Observability
///
/// Written when it goes out of scope. Never blocks; any thread.
class LogLine {
 public:
  /// \param event a stable name in lower case, as in `request.end`.
  LogLine(LogLevel level, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  LogLine& with(std::string_view key, std::string_view value);
  LogLine& with(std::string_view key, const char* value);
  LogLine& with(std::string_view key, std::int64_t value);
  LogLine& with(std::string_view key, std::uint64_t value);
  LogLine& with(std::string_view key, int value);
  LogLine& with(std::string_view key, bool value);
  /// \brief Milliseconds; the key should end in `Ms`.
  LogLine& with(std::string_view key, Millis value);

 private:
  LogLevel level_;
  bool enabled_;
  std::string text_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_OBSERVABILITY_LOGLINE_H
