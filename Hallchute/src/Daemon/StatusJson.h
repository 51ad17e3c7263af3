// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_STATUSJSON_H
#define HALLCHUTE_DAEMON_STATUSJSON_H

#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {

struct OperatorServices;

/// \brief The document that `/status` returns.
/// \ingroup Daemon
JsonObject statusJson(OperatorServices& services);

/// \brief The document that `/requests` returns: the jobs of this daemon.
/// \ingroup Daemon
JsonObject requestsJson(const OperatorServices& services);

/// \brief Updates the metrics that are sampled on each scrape: CPU time, memory, peer traffic and
/// the number of members.
/// \ingroup Daemon
void updateProcessMetrics(OperatorServices& services);

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_STATUSJSON_H
