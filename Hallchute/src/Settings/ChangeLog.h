// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_CHANGELOG_H
#define HALLCHUTE_SETTINGS_CHANGELOG_H

#include <map>
#include <memory>
#include <string_view>

#include "Hallchute/src/Settings/SettingsChange.h"
#include "Hallchute/src/Settings/SettingsTree.h"

namespace Hallchute {

/// \brief The settings in force at one revision, shared and never changed.
/// \ingroup Settings
struct ActiveSettings {
  std::uint64_t revision = 0;
  JsonObject json;
  SettingsTree tree;
};

/// \brief Applies numbered changes in order, each once, and never goes back.
/// \ingroup Settings
///
/// Changes may come from several sources, late, twice and out of order. Those that come early
/// wait, at most kMaxWaiting of them. No I/O, no clock; one thread.
class ChangeLog {
 public:
  static constexpr std::size_t kMaxWaiting = 256;

  ChangeLog();
  /// \brief Starts from a snapshot; ignored unless it is newer than what is in force.
  /// \returns whether it is in force now.
  bool loadSnapshot(std::uint64_t revision, const JsonObject& json);
  /// \brief Takes one change.
  /// \returns whether the revision in force rose.
  bool add(SettingsChange change);
  const std::shared_ptr<const ActiveSettings>& activeSettings() const { return inForce_; }
  std::uint64_t revision() const { return inForce_->revision; }
  /// \brief Changes after \p revision that are still held, oldest first, at most \p most.
  std::vector<SettingsChange> after(std::uint64_t revision, std::size_t most) const;

 private:
  bool applyNext();

  std::shared_ptr<const ActiveSettings> inForce_;
  std::map<std::uint64_t, SettingsChange> waiting_;
  /// The newest changes applied, kept for peers that lag.
  std::map<std::uint64_t, SettingsChange> recent_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_CHANGELOG_H
