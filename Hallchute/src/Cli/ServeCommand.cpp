// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Cli/ServeCommand.h"

#include <absl/flags/flag.h>
#include <pthread.h>
#include <signal.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>

#include "Hallchute/src/Daemon/Daemon.h"
#include "Hallchute/src/Observability/Log.h"

ABSL_FLAG(std::string, config, "", "the daemon's start-up file");

namespace Hallchute {
namespace {

sigset_t stopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

ExitCode serveCommand() {
  const std::string path = absl::GetFlag(FLAGS_config);
  std::ifstream file(path);
  if (!file) {
    std::cerr << "--config: can't read '" << path << "'\n";
    return ExitCode::usage;
  }
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  StartupFile startup = readStartupFile(text.str(), findings);
  if (!findings.empty()) {
    std::cerr << path << " has faults:\n" << describe(findings);
    return ExitCode::invalid;
  }
  // Every thread inherits the mask: only the waiter below takes the signals.
  const sigset_t signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  startLogging(logLevelNamed(startup.logLevel), startup.daemon.str(), startup.domain.str());
  try {
    Daemon daemon(std::move(startup));
    std::atomic<bool> done{false};
    std::thread waiter([&] {
      int number = 0;
      while (sigwait(&signals, &number) == 0 && !done) daemon.stop();
    });
    daemon.run();
    // The waiter must not reach for a daemon that is gone.
    done = true;
    pthread_kill(waiter.native_handle(), SIGINT);
    waiter.join();
  } catch (const Poco::Exception& e) {
    std::cerr << "can't start: " << e.displayText() << "\n";
    return ExitCode::unavailable;
  }
  return ExitCode::ok;
}

}  // namespace Hallchute
