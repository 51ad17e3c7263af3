// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CLI_COMMAND_H
#define HALLCHUTE_CLI_COMMAND_H

#include <span>
#include <string_view>

#include "Hallchute/src/Cli/ExitCode.h"

namespace Hallchute {

/// \brief The text of `hallchute --help`.
/// \ingroup Cli
std::string_view usageText();

/// \brief Runs a command.
/// \ingroup Cli
/// \param words the command line without program name and flags.
ExitCode runCommand(std::span<const std::string_view> words);

}  // namespace Hallchute

#endif  // HALLCHUTE_CLI_COMMAND_H
