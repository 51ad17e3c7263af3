// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_OBSERVABILITY_LOGCONTEXT_H
#define HALLCHUTE_OBSERVABILITY_LOGCONTEXT_H

#include <string>
#include <utility>
#include <vector>

namespace Hallchute {

/// \brief Adds a member to every log line of the constructing thread until it is destroyed.
/// \ingroup Observability
class LogContext {
 public:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  LogContext(std::string key, std::string value) {
    fields().emplace_back(std::move(key), std::move(value));
  }
  ~LogContext() { fields().pop_back(); }
  LogContext(const LogContext&) = delete;
  LogContext& operator=(const LogContext&) = delete;

  /// \brief The members added to the calling thread's lines, outermost first.
  static const Fields& current() { return fields(); }

 private:
  static Fields& fields() {
    static thread_local Fields threadFields;
    return threadFields;
  }
};

}  // namespace Hallchute

#endif  // HALLCHUTE_OBSERVABILITY_LOGCONTEXT_H
