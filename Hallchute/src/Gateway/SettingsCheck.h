// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_SETTINGSCHECK_H
#define HALLCHUTE_GATEWAY_SETTINGSCHECK_H

#include <vector>

#include "Hallchute/src/Gateway/SettingsIssue.h"

namespace Hallchute {

struct GatewaySettings;

/// \brief Finds entries that can never match or serve, and limits that contradict each other.
/// \ingroup Gateway
///
/// No I/O. In the order of the settings: routes, services, organisations, limits. Cost: the number
/// of entries times the logarithm of it.
std::vector<SettingsIssue> checkSettings(const GatewaySettings& settings);

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_SETTINGSCHECK_H
