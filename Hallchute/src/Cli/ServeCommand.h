// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CLI_SERVECOMMAND_H
#define HALLCHUTE_CLI_SERVECOMMAND_H

#include "Hallchute/src/Cli/ExitCode.h"

namespace Hallchute {

/// \brief `hallchute serve`: runs until SIGTERM or SIGINT; a second signal stops it at once.
/// \ingroup Cli
ExitCode serveCommand();

}  // namespace Hallchute

#endif  // HALLCHUTE_CLI_SERVECOMMAND_H
