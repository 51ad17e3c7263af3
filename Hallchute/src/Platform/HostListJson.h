// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PLATFORM_HOSTLISTJSON_H
#define HALLCHUTE_PLATFORM_HOSTLISTJSON_H

#include <vector>

#include "Hallchute/src/Core/Finding.h"
#include "Hallchute/src/Ports/PlatformPort.h"
#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {

/// \brief Reads the platform's host list. Invalid entries are skipped and reported as findings.
/// \ingroup Platform
HostList readHostList(const JsonObject& json, Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_PLATFORM_HOSTLISTJSON_H
