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

/// \brief The active settings at one revision; shared and immutable.
/// \ingroup Settings
struct ActiveSettings {
  std::uint64_t revision = 0;
  JsonObject json;
  SettingsTree tree;
};

/// \brief Applies numbered changes in order, each exactly once; the revision never decreases.
/// \ingroup Settings
///
/// Changes may arrive from several sources, late, duplicated and out of order. Up to
/// kMaxPendingChanges changes are buffered until their predecessors arrive. Performs no I/O and
/// reads no clock; not thread-safe.
class ChangeLog {
 public:
  static constexpr std::size_t kMaxPendingChanges = 256;

  ChangeLog();
  /// \brief Replaces the settings by a snapshot, unless it is no newer than the active revision.
  /// \returns whether the snapshot was applied.
  bool loadSnapshot(std::uint64_t revision, const JsonObject& json);
  /// \brief Adds one change and applies all changes that follow the active revision without a gap.
  /// \returns whether the active revision increased.
  bool add(SettingsChange change);
  const std::shared_ptr<const ActiveSettings>& activeSettings() const { return active_; }
  std::uint64_t revision() const { return active_->revision; }
  /// \brief At most \p maxCount changes after \p revision, oldest first; empty if the first of them
  /// is no longer retained.
  std::vector<SettingsChange> after(std::uint64_t revision, std::size_t maxCount) const;

 private:
  bool applyNext();

  std::shared_ptr<const ActiveSettings> active_;
  std::map<std::uint64_t, SettingsChange> pending_;
  /// The changes applied last, retained for peers that lag behind.
  std::map<std::uint64_t, SettingsChange> recent_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_CHANGELOG_H
