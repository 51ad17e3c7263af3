// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Admission/FairShare.h"

#include <algorithm>

namespace Hallchute {

double FairShare::startOf(const OrganisationName& organisation) const {
  const auto it = clocks_.find(organisation);
  return it == clocks_.end() ? now_ : std::max(now_, it->second);
}

void FairShare::charge(const OrganisationName& organisation, double cost, double weight) {
  const double start = startOf(organisation);
  now_ = start;
  clocks_[organisation] = start + cost / weight;
  std::erase_if(clocks_, [&](const auto& entry) { return entry.second < now_; });
}

}  // namespace Hallchute
