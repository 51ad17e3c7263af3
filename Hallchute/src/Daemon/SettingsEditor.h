// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_SETTINGSEDITOR_H
#define HALLCHUTE_DAEMON_SETTINGSEDITOR_H

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "Hallchute/src/Core/Finding.h"
#include "Hallchute/src/Ports/PlatformPort.h"
#include "Hallchute/src/Settings/SettingsChange.h"

namespace Hallchute {

class SettingsStore;

/// \brief A settings change proposed by an operator.
/// \ingroup Daemon
struct SettingsProposal {
  std::string author;
  std::string reason;
  JsonObject patch;
  /// The revision that the patch is based on; 0 applies it to the latest one.
  std::uint64_t baseRevision = 0;
};

/// \brief The change was accepted; all daemons will apply it. \ingroup Daemon
struct ProposalAccepted {
  SettingsChange change;
};
/// \brief The patch does not change the settings. \ingroup Daemon
struct ProposalEmpty {};
/// \brief The proposal or the resulting settings are invalid. \ingroup Daemon
struct ProposalInvalid {
  Findings findings;
};
/// \brief Another change was accepted first. \ingroup Daemon
struct ProposalConflict {
  SettingsChange winner;
};
/// \brief The platform is unavailable; the change was certainly not accepted. \ingroup Daemon
struct ProposalUnavailable {
  std::string detail;
};
/// \brief It is unknown whether the change was accepted; look for \p id in the history.
/// \ingroup Daemon
struct ProposalUnknown {
  std::string id;
};

/// \ingroup Daemon
using ProposalOutcome = std::variant<ProposalAccepted, ProposalEmpty, ProposalInvalid,
                                     ProposalConflict, ProposalUnavailable, ProposalUnknown>;

/// \brief Appends settings changes to the log on the platform.
/// \ingroup Daemon
///
/// A change is accepted if and only if its numbered object was created. Blocks; thread-safe.
class SettingsEditor {
 public:
  /// Called with each change that is known to be accepted.
  using ChangeCallback = std::function<void(const SettingsChange&)>;

  SettingsEditor(PlatformPort& platform, const SettingsStore& settings, ChangeCallback onChange);
  ProposalOutcome propose(const SettingsProposal& proposal);
  /// \brief Lists at most \p limit changes after number \p after from the platform, oldest first.
  PlatformReply<std::vector<SettingsChange>> history(std::uint64_t after, std::size_t limit);

 private:
  /// Reads the latest settings into \p json. \returns their revision.
  std::variant<std::uint64_t, ProposalUnavailable> loadLatest(JsonObject& json);
  ProposalOutcome create(const SettingsChange& change);
  std::variant<SettingsChange, ProposalUnavailable> readChange(std::uint64_t number);
  void writeSnapshot(const SettingsChange& change, const JsonObject& json);

  PlatformPort& platform_;
  const SettingsStore& settings_;
  ChangeCallback onChange_;
};

inline constexpr std::string_view kSnapshotKey = "settings/snapshot";

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_SETTINGSEDITOR_H
