// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_USAGELEDGER_H
#define HALLCHUTE_GATEWAY_USAGELEDGER_H

#include <cstdint>
#include <map>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Number of requests that started to run, by organisation. \ingroup Gateway
using UsageCounts = std::map<OrganisationName, std::uint64_t>;

/// \brief Counts by window; window k starts k window lengths after the Unix epoch.
/// \ingroup Gateway
using UsageByWindow = std::map<std::int64_t, UsageCounts>;

/// \brief One daemon's request counts in wall-clock windows. \ingroup Gateway
class UsageLedger {
 public:
  explicit UsageLedger(Millis window) : window_(window) {}

  /// \param wallClock time since the Unix epoch.
  std::int64_t windowAt(Millis wallClock) const { return wallClock / window_; }
  void noteRun(const OrganisationName& organisation, Millis wallClock) {
    ++counts_[windowAt(wallClock)][organisation];
  }
  /// \brief Discards windows before \p first.
  void forgetBefore(std::int64_t first) {
    counts_.erase(counts_.begin(), counts_.lower_bound(first));
  }
  const UsageByWindow& counts() const { return counts_; }

 private:
  Millis window_;
  UsageByWindow counts_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_USAGELEDGER_H
