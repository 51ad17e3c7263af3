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

/// \brief What an operator proposes.
/// \ingroup Daemon
struct SettingsProposal {
  std::string author;
  std::string reason;
  JsonObject patch;
  /// The revision it was made against; 0 takes the newest.
  std::uint64_t baseRevision = 0;
};

/// \brief It is accepted and will be in force everywhere. \ingroup Daemon
struct ProposalAccepted {
  SettingsChange change;
};
/// \brief It would change nothing. \ingroup Daemon
struct ProposalEmpty {};
/// \brief It has faults. \ingroup Daemon
struct ProposalInvalid {
  Findings findings;
};
/// \brief Another change came first. \ingroup Daemon
struct ProposalConflict {
  SettingsChange winner;
};
/// \brief The platform is out: it is surely not accepted. \ingroup Daemon
struct ProposalUnavailable {
  std::string detail;
};
/// \brief Nobody knows yet; the history will show whether a change with this id is there.
/// \ingroup Daemon
struct ProposalUnknown {
  std::string id;
};

/// \ingroup Daemon
using ProposalOutcome = std::variant<ProposalAccepted, ProposalEmpty, ProposalInvalid,
                                     ProposalConflict, ProposalUnavailable, ProposalUnknown>;

/// \brief Proposes changes of the settings to the platform's log.
/// \ingroup Daemon
///
/// Acceptance is the creation of the numbered object, and nothing else. Blocks; any thread.
class SettingsEditor {
 public:
  /// Told each change that is known to stand.
  using Learn = std::function<void(const SettingsChange&)>;

  SettingsEditor(PlatformPort& platform, const SettingsStore& settings, Learn learn);
  ProposalOutcome propose(const SettingsProposal& proposal);
  /// \brief Changes after number \p after, oldest first, from the platform.
  PlatformReply<std::vector<SettingsChange>> history(std::uint64_t after, std::size_t most);

 private:
  std::variant<std::uint64_t, ProposalUnavailable> catchUp(JsonObject& json);
  ProposalOutcome create(const SettingsChange& change);
  std::variant<SettingsChange, ProposalUnavailable> readChange(std::uint64_t number);
  void writeSnapshot(const SettingsChange& change, const JsonObject& json);

  PlatformPort& platform_;
  const SettingsStore& settings_;
  Learn learn_;
};

inline constexpr std::string_view kSnapshotKey = "settings/snapshot";

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_SETTINGSEDITOR_H
