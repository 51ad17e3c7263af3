// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_USAGELEDGER_H
#define HALLCHUTE_GATEWAY_USAGELEDGER_H

#include <cstdint>
#include <map>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief Requests that began to run, by organisation. \ingroup Gateway
using UsageCounts = std::map<OrganisationName, std::uint64_t>;

/// \brief Counts by window; window k begins k window lengths after the start of 1970.
/// \ingroup Gateway
using UsageByWindow = std::map<std::int64_t, UsageCounts>;

/// \brief What one daemon counted in each window of the wall clock. \ingroup Gateway
class UsageLedger {
 public:
  explicit UsageLedger(Millis window) : window_(window) {}

  /// \param wallClock time since the start of 1970.
  std::int64_t windowAt(Millis wallClock) const { return wallClock / window_; }
  void noteRun(const OrganisationName& organisation, Millis wallClock) {
    ++counts_[windowAt(wallClock)][organisation];
  }
  /// \brief Drops windows before \p first.
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
