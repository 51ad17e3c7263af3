// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <iostream>
#include <string_view>
#include <vector>

#include "Hallchute/Cli"
#include "platform/CheckConfigCommand.h"
#include "platform/GatewayCommand.h"

int main(int argc, char** argv) {
  Hallchute::registerCommand({"gateway",
                              "serve the platform's traffic as a gateway: [--config=FILE]",
                              Hallchute::gatewayCommand});
  Hallchute::registerCommand({"check-config",
                              "check a gateway's configuration before it is stored: --file=FILE "
                              "[--against=FILE|--store=IP:PORT] [--json]",
                              Hallchute::checkConfigCommand});
  absl::SetProgramUsageMessage(std::string(Hallchute::usageText()));
  if (argc == 2 && std::string_view(argv[1]) == "--help") {
    std::cout << Hallchute::usageText();
    return 0;
  }
  absl::FlagsUsageConfig config;
  config.version_string = [] { return std::string("hallchute 0.1.0\n"); };
  absl::SetFlagsUsageConfig(config);
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string_view> arguments(positional.begin() + 1, positional.end());
  return static_cast<int>(Hallchute::runCommand(arguments));
}
