// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Cli/ServeCommand.h"

#include <pthread.h>
#include <signal.h>

#include <array>
#include <atomic>
#include <iostream>
#include <string_view>
#include <thread>

#include "Hallchute/src/Cli/ConfigFile.h"
#include "Hallchute/src/Daemon/Daemon.h"
#include "Hallchute/src/Net/ProcessMemory.h"
#include "Hallchute/src/Observability/Log.h"

namespace Hallchute {
namespace {

constexpr std::array kStopSignals{SIGTERM, SIGINT};

}  // namespace

ExitCode serveCommand() {
  StartupFile startup;
  const ExitCode read =
      readConfigFile(configPath(), [&](std::string_view text, Findings& findings) {
        startup = readStartupFile(text, findings);
      });
  if (read != ExitCode::ok) return read;
  separateLargeBlocks();
  const sigset_t signals = blockSignals(kStopSignals);
  startLogging(parseLogLevel(startup.logLevel), startup.daemon.str(), startup.domain.str());
  try {
    Daemon daemon(std::move(startup));
    std::atomic<bool> done{false};
    std::thread waiter([&] {
      int number = 0;
      while (sigwait(&signals, &number) == 0 && !done) daemon.stop();
    });
    daemon.run();
    // The waiter must not access the daemon after its destruction.
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
