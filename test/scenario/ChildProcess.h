// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SCENARIO_CHILDPROCESS_H
#define HALLCHUTE_TEST_SCENARIO_CHILDPROCESS_H

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace Scenario {

/// \brief A process that the scenario started; killed when it goes out of scope.
class ChildProcess {
 public:
  /// \param logPath where its output goes.
  ChildProcess(const std::vector<std::string>& command, const std::string& logPath);
  /// \param environment its whole environment, as `NAME=value`.
  ChildProcess(const std::vector<std::string>& command, const std::string& logPath,
               const std::vector<std::string>& environment);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t id() const { return pid_; }
  void signal(int number) const;
  bool running();
  /// \brief Kills it and waits for its end.
  void kill();
  /// \brief The exit code once it has ended by itself; negative for a signal.
  std::optional<int> exitCode();

 private:
  void start(const std::vector<std::string>& command, const std::string& logPath,
             char* const* environment);

  pid_t pid_ = -1;
  std::optional<int> exitCode_;
};

}  // namespace Scenario

#endif  // HALLCHUTE_TEST_SCENARIO_CHILDPROCESS_H
