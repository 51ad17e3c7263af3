// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CLI_CONFIGFILE_H
#define HALLCHUTE_CLI_CONFIGFILE_H

#include <signal.h>

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "Hallchute/src/Cli/ExitCode.h"
#include "Hallchute/src/Core/Finding.h"

namespace Hallchute {

/// \brief The path given by `--config`. \ingroup Cli
std::string configPath();

/// \brief Reads the start-up file at \p path and prints all its errors on standard error.
/// \ingroup Cli
/// \param read parses the text and adds its errors to the findings.
/// \returns `ok`, `usage` if the file can't be read, `invalid` if it has errors.
ExitCode readConfigFile(const std::string& path,
                        const std::function<void(std::string_view text, Findings&)>& read);

/// \brief Blocks the signals \p numbers in this thread and all threads it starts, so that one
/// thread can wait for them, and ignores SIGPIPE. \ingroup Cli
sigset_t blockSignals(std::span<const int> numbers);

}  // namespace Hallchute

#endif  // HALLCHUTE_CLI_CONFIGFILE_H
