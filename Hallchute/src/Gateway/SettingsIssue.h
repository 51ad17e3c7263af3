// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_SETTINGSISSUE_H
#define HALLCHUTE_GATEWAY_SETTINGSISSUE_H

#include <string>

namespace Hallchute {

/// \brief A fault in settings. \ingroup Gateway
struct SettingsIssue {
  enum class Severity {
    /// Something has no effect, or is probably not meant.
    warning,
    /// Requests are refused or lost, or the daemons don't take a part of the settings.
    error,
  };
  Severity severity = Severity::warning;
  /// The entry, by its kind and name: `/routes/chat`.
  std::string path;
  std::string message;
  bool operator==(const SettingsIssue&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_SETTINGSISSUE_H
