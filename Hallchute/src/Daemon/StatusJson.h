// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_STATUSJSON_H
#define HALLCHUTE_DAEMON_STATUSJSON_H

#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {

struct OperatorServices;

/// \brief What `/status` shows.
/// \ingroup Daemon
JsonObject statusJson(OperatorServices& services);

/// \brief What `/requests` shows: the jobs of this daemon.
/// \ingroup Daemon
JsonObject requestsJson(const OperatorServices& services);

/// \brief Sets the gauges that are read when they are asked for: memory, processor, peer bytes.
/// \ingroup Daemon
void noteProcessMetrics(OperatorServices& services);

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_STATUSJSON_H
