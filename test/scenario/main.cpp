// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <signal.h>
#include <stdlib.h>

#include <exception>
#include <filesystem>
#include <iostream>
#include <string>

#include "test/scenario/Runner.h"

/// Runs one script: `hallchute-scenario BINARIES SCRIPT`. Ends with 0 if every step held.
int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: hallchute-scenario BINARIES SCRIPT\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  std::string work = (std::filesystem::temp_directory_path() / "hallchute-XXXXXX").string();
  if (mkdtemp(work.data()) == nullptr) return 2;
  int code = 0;
  try {
    Scenario::Runner runner(argv[1], work);
    runner.run(Scenario::readScript(argv[2]));
  } catch (const std::exception& e) {
    std::cout << "FAILED " << e.what() << "\n  logs are in " << work << std::endl;
    code = 1;
  }
  if (code == 0) std::filesystem::remove_all(work);
  return code;
}
