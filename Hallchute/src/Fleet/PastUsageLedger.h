// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_PASTUSAGELEDGER_H
#define HALLCHUTE_FLEET_PASTUSAGELEDGER_H

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Gateway/UsageLedger.h"

namespace Hallchute {

struct PastUsage;

/// \brief Usage of incarnations that can't tell it themselves any more. One thread; no I/O, no
/// clock. \ingroup Fleet
class PastUsageLedger {
 public:
  /// \brief Takes a word on an incarnation's counts. They only rise: of two words the higher count
  /// stands.
  void note(const DaemonId& daemon, std::uint64_t incarnation, const UsageByWindow& usage);
  /// \brief The incarnation speaks for itself again.
  void forget(const DaemonId& daemon, std::uint64_t incarnation);
  /// \brief Drops windows before \p firstWindow.
  void forgetBefore(std::int64_t firstWindow);

  /// \brief Counts of all earlier incarnations of a daemon.
  UsageByWindow of(const DaemonId& daemon) const;
  UsageByWindow total() const;
  std::vector<PastUsage> all() const;

 private:
  std::map<std::pair<DaemonId, std::uint64_t>, UsageByWindow> byLife_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_PASTUSAGELEDGER_H
