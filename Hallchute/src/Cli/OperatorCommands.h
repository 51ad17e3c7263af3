// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CLI_OPERATORCOMMANDS_H
#define HALLCHUTE_CLI_OPERATORCOMMANDS_H

#include "Hallchute/src/Cli/ExitCode.h"

namespace Hallchute {

/// \file
/// \brief The commands that call a daemon's operator address. \ingroup Cli

ExitCode settingsGetCommand();
ExitCode settingsCheckCommand();
ExitCode settingsApplyCommand();
ExitCode settingsExplainCommand();
ExitCode settingsHistoryCommand();
ExitCode settingsReferenceCommand();
ExitCode statusCommand();
ExitCode requestsCommand();
ExitCode auditCommand();
ExitCode drainCommand();
ExitCode leaveCommand();
ExitCode hashCommand();
/// \brief Prints the history of one request, from logs on standard input.
/// \ingroup Cli
ExitCode explainRequestCommand();

}  // namespace Hallchute

#endif  // HALLCHUTE_CLI_OPERATORCOMMANDS_H
