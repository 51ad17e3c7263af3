// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Cli/Command.h"

#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "Hallchute/src/Cli/OperatorCommands.h"
#include "Hallchute/src/Cli/ServeCommand.h"

namespace Hallchute {
namespace {

ExitCode version() {
  std::cout << "hallchute 0.1.0\n";
  return ExitCode::ok;
}

constexpr CommandRow kCommands[] = {
    {"serve", "run a daemon: --config=FILE", serveCommand},
    {"settings get", "print the settings in force", settingsGetCommand},
    {"settings check", "check a patch without applying it: --file=FILE", settingsCheckCommand},
    {"settings apply", "apply a patch: --file=FILE --author=NAME --reason=TEXT",
     settingsApplyCommand},
    {"settings explain",
     "which level gives a number: --key=NAME [--service --organisation --domain]",
     settingsExplainCommand},
    {"settings history", "the changes, oldest first: [--after=NUMBER]", settingsHistoryCommand},
    {"settings reference", "print the reference of all settings", settingsReferenceCommand},
    {"status", "members, upstreams, shards and revisions as a daemon sees them", statusCommand},
    {"requests", "the requests of a daemon", requestsCommand},
    {"audit", "who changed what, when and why: [--after=NUMBER]", auditCommand},
    {"drain", "stop a daemon without cutting off a request", drainCommand},
    {"leave", "an upstream takes no new work: --upstream=NAME [--in_ms=MS]", leaveCommand},
    {"explain-request", "one request's way, from the daemons' logs on standard input: --request=ID",
     explainRequestCommand},
    {"hash", "the SHA-256 of a bearer token read from standard input", hashCommand},
    {"version", "print the version", version},
};

std::vector<CommandRow>& commands() {
  static std::vector<CommandRow> all(std::begin(kCommands), std::end(kCommands));
  return all;
}

}  // namespace

void registerCommand(const CommandRow& command) {
  commands().push_back(command);
}

std::string_view usageText() {
  static const std::string kText = [] {
    std::string text = "hallchute COMMAND [FLAGS]\n\nCommands:\n";
    for (const CommandRow& row : commands()) {
      std::string line = "  " + std::string(row.words);
      line.resize(22, ' ');
      text += line + std::string(row.help) + "\n";
    }
    text +=
        "\nFlags of all but serve, gateway and check-config: --operator=IP:PORT (or "
        "HALLCHUTE_OPERATOR),\n"
        "--token=TOKEN (or HALLCHUTE_TOKEN), --json for the daemon's own words.\n"
        "Exit codes: 0 done, 2 usage, 3 findings, 4 conflict, 5 unreachable, 6 not known,\n"
        "7 refused. check-config: 0 no finding, 1 warnings, 2 errors, 3 can't be read.\n";
    return text;
  }();
  return kText;
}

ExitCode runCommand(std::span<const std::string_view> words) {
  std::string joined;
  for (const std::string_view word : words) {
    joined += (joined.empty() ? "" : " ") + std::string(word);
  }
  for (const CommandRow& row : commands()) {
    if (row.words == joined) return row.run();
  }
  std::cerr << (joined.empty() ? "no command given" : "no such command: " + joined) << "\n\n"
            << usageText();
  return ExitCode::usage;
}

}  // namespace Hallchute
