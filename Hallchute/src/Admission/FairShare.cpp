// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Admission/FairShare.h"

#include <algorithm>

namespace Hallchute {

double FairShare::virtualStartTime(const OrganisationName& organisation) const {
  const auto it = finishTimes_.find(organisation);
  return it == finishTimes_.end() ? virtualTime_ : std::max(virtualTime_, it->second);
}

void FairShare::charge(const OrganisationName& organisation, double cost, double weight) {
  const double start = virtualStartTime(organisation);
  virtualTime_ = start;
  finishTimes_[organisation] = start + cost / weight;
  std::erase_if(finishTimes_, [&](const auto& entry) { return entry.second < virtualTime_; });
}

}  // namespace Hallchute
