// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CLI_COMMAND_H
#define HALLCHUTE_CLI_COMMAND_H

#include <span>
#include <string_view>

#include "Hallchute/src/Cli/ExitCode.h"

namespace Hallchute {

/// \brief A command, its help line and the function that runs it. \ingroup Cli
struct CommandRow {
  std::string_view words;
  std::string_view help;
  ExitCode (*run)();
};

/// \brief Registers a command of an adapter; to be called before usageText() and runCommand().
/// \ingroup Cli
void registerCommand(const CommandRow& command);

/// \brief The text of `hallchute --help`.
/// \ingroup Cli
std::string_view usageText();

/// \brief Runs a command.
/// \ingroup Cli
/// \param words the command-line arguments without program name and flags.
ExitCode runCommand(std::span<const std::string_view> words);

}  // namespace Hallchute

#endif  // HALLCHUTE_CLI_COMMAND_H
