// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CLI_RENDER_H
#define HALLCHUTE_CLI_RENDER_H

#include <string>

#include "Hallchute/src/Cli/ExitCode.h"
#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {

/// \file
/// \brief Renders a daemon's JSON as human-readable text. \ingroup Cli

std::string renderSettings(const JsonObject& json);
std::string renderChange(const JsonObject& json);
std::string renderExplained(const JsonObject& json);
std::string renderHistory(const JsonObject& json);
std::string renderAudit(const JsonObject& json);
std::string renderStatus(const JsonObject& json);
std::string renderRequests(const JsonObject& json);
std::string renderMessage(const JsonObject& json);
/// \brief Explains why the daemon did not perform the call.
std::string renderFault(ExitCode code, const JsonObject& json);

}  // namespace Hallchute

#endif  // HALLCHUTE_CLI_RENDER_H
