// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Cli/ConfigFile.h"

#include <absl/flags/flag.h>
#include <pthread.h>

#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, config, "", "the daemon's start-up file");

namespace Hallchute {

std::string configPath() {
  return absl::GetFlag(FLAGS_config);
}

ExitCode readConfigFile(const std::string& path,
                        const std::function<void(std::string_view text, Findings&)>& read) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "can't read the start-up file '" << path << "'\n";
    return ExitCode::usage;
  }
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  read(text.str(), findings);
  if (findings.empty()) return ExitCode::ok;
  std::cerr << path << " has faults:\n" << describe(findings);
  return ExitCode::invalid;
}

sigset_t blockSignals(std::span<const int> numbers) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : numbers) sigaddset(&signals, number);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

}  // namespace Hallchute
