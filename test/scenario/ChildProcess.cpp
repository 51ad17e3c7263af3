// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/scenario/ChildProcess.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>

namespace Scenario {

namespace {

/// The words as posix_spawn takes them; they live as long as \p words.
std::vector<char*> pointers(const std::vector<std::string>& words) {
  std::vector<char*> all;
  all.reserve(words.size() + 1);
  for (const std::string& word : words) all.push_back(const_cast<char*>(word.c_str()));
  all.push_back(nullptr);
  return all;
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& logPath) {
  start(command, logPath, environ);
}

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& logPath,
                           const std::vector<std::string>& environment) {
  start(command, logPath, pointers(environment).data());
}

void ChildProcess::start(const std::vector<std::string>& command, const std::string& logPath,
                         char* const* environment) {
  const std::vector<char*> words = pointers(command);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&files, 1, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   kMode);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  // A socket that a child process inherits stays open when this process closes it.
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  const int failed = posix_spawn(&pid_, words[0], &files, nullptr, words.data(), environment);
  posix_spawn_file_actions_destroy(&files);
  if (failed != 0) throw std::runtime_error("can't start " + command.front());
}

ChildProcess::~ChildProcess() {
  kill();
}

void ChildProcess::signal(int number) const {
  ::kill(pid_, number);
}

bool ChildProcess::running() {
  return !exitCode().has_value();
}

std::optional<int> ChildProcess::exitCode() {
  if (exitCode_) return exitCode_;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return exitCode_;
}

void ChildProcess::kill() {
  if (exitCode_) return;
  signal(SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}  // namespace Scenario
