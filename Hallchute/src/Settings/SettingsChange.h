// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_SETTINGSCHANGE_H
#define HALLCHUTE_SETTINGS_SETTINGSCHANGE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {

/// \brief One accepted change of the settings, as it stands in the log for ever.
/// \ingroup Settings
struct SettingsChange {
  std::uint64_t number = 0;
  /// Random; tells after a lost reply whose change took the number.
  std::string id;
  std::string author;
  std::string reason;
  /// UTC, ISO 8601, from the clock of the daemon that proposed it.
  std::string at;
  /// The JSON merge patch.
  JsonObject patch;
  /// What it changed, with the values before and after.
  std::vector<JsonDifference> differences;
};

/// \brief The platform key of change \p number: numbers sort as text.
/// \ingroup Settings
std::string changeKey(std::uint64_t number);

inline constexpr std::string_view kChangePrefix = "settings/changes/";

std::string serializeChange(const SettingsChange& change);

/// \returns a change with number 0 after adding findings, if \p text is no change.
SettingsChange parseChange(std::string_view text, Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_SETTINGSCHANGE_H
