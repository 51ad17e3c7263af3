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

/// \brief One accepted change of the settings; an immutable entry of the change log.
/// \ingroup Settings
struct SettingsChange {
  std::uint64_t number = 0;
  /// Random; identifies the writer that won the number when the reply to the write was lost.
  std::string id;
  std::string author;
  std::string reason;
  /// UTC, ISO 8601; the wall-clock time of the daemon that proposed the change.
  std::string at;
  /// The JSON merge patch.
  JsonObject patch;
  /// The changed paths, with the values before and after.
  std::vector<JsonDifference> differences;
};

/// \brief The key of change \p number in the platform store, zero-padded so that keys sort by
/// number. \ingroup Settings
std::string changeKey(std::uint64_t number);

inline constexpr std::string_view kChangePrefix = "settings/changes/";

std::string serializeChange(const SettingsChange& change);

/// \returns a change with number 0, after adding findings, if \p text is not a valid change.
SettingsChange parseChange(std::string_view text, Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_SETTINGSCHANGE_H
