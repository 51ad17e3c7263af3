// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ADMISSION_FAIRSHARE_H
#define HALLCHUTE_ADMISSION_FAIRSHARE_H

#include <map>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief Weighted fair queuing over organisations by virtual time.
/// \ingroup Admission
///
/// Each request advances its organisation's finish time by its cost divided by the weight. An
/// organisation that was idle starts at the shard's virtual time, so it accumulates no credit.
class FairShare {
 public:
  /// \brief The virtual time at which the organisation's next request would start.
  double virtualStartTime(const OrganisationName& organisation) const;
  /// \brief Charges the organisation for a granted request of \p cost tokens.
  void charge(const OrganisationName& organisation, double cost, double weight);
  std::size_t size() const { return finishTimes_.size(); }

 private:
  std::map<OrganisationName, double> finishTimes_;
  double virtualTime_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_FAIRSHARE_H
