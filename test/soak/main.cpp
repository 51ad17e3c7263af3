// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <Poco/Exception.h>
#include <Poco/TemporaryFile.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <signal.h>

#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "test/soak/BrittleSoak.h"
#include "test/soak/CrashSoak.h"
#include "test/soak/CutSoak.h"
#include "test/soak/LimitSoak.h"
#include "test/soak/RefusalSoak.h"
#include "test/soak/SilenceSoak.h"
#include "test/soak/SiteSoak.h"
#include "test/soak/SoakOptions.h"
#include "test/soak/StopSoak.h"
#include "test/soak/VersionSoak.h"

ABSL_FLAG(int, daemons, 7, "gateway processes");
ABSL_FLAG(int, seconds, 20, "length of the run");
ABSL_FLAG(unsigned, seed, 1, "seed of the callers and faults");
ABSL_FLAG(bool, keep, false, "keep the daemons' logs and print their folder");
ABSL_FLAG(bool, unread, false, "stops: nobody reads the daemons' standard output");

namespace {

int run(const std::string& kind, Soak::SoakOptions options) {
  Poco::TemporaryFile work;
  work.createDirectories();
  if (absl::GetFlag(FLAGS_keep)) {
    work.keep();
    std::cout << "logs: " << work.path() << "\n";
  }
  options.work = work.path();
  if (kind == "brittle") return Soak::runBrittleSoak(options) ? 0 : 1;
  if (kind == "crashes") return Soak::runCrashSoak(options) ? 0 : 1;
  if (kind == "cuts") return Soak::runCutSoak(options) ? 0 : 1;
  if (kind == "jumps") return Soak::runJumpSoak(options) ? 0 : 1;
  if (kind == "limits") return Soak::runLimitSoak(options) ? 0 : 1;
  if (kind == "refusals") return Soak::runRefusalSoak(options) ? 0 : 1;
  if (kind == "silences") return Soak::runSilenceSoak(options) ? 0 : 1;
  if (kind == "sites") return Soak::runSiteSoak(options) ? 0 : 1;
  if (kind == "stops") return Soak::runStopSoak(options) ? 0 : 1;
  if (kind == "versions") return Soak::runVersionSoak(options) ? 0 : 1;
  std::cerr << "usage: hallchute-gateway-soak BUILD "
               "brittle|crashes|cuts|jumps|limits|refusals|silences|sites|stops|versions\n";
  return 2;
}

}  // namespace

/// Runs a randomised soak of real gateway processes: `hallchute-gateway-soak BUILD KIND`.
int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
  Soak::SoakOptions options;
  options.binaries = words.size() > 1 ? words[1] : "";
  options.daemons = absl::GetFlag(FLAGS_daemons);
  options.seconds = absl::GetFlag(FLAGS_seconds);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.unread = absl::GetFlag(FLAGS_unread);
  try {
    return run(words.size() > 2 ? words[2] : "", options);
  } catch (const Poco::Exception& e) {
    std::cerr << e.displayText() << "\n";
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
  }
  return 1;
}
