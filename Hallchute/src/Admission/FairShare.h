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
/// An organisation's clock advances by the cost of its work over its weight. One that was idle
/// starts at the shard's clock: it saves nothing up.
class FairShare {
 public:
  /// \brief The virtual time at which the organisation's next work would start.
  double startOf(const OrganisationName& organisation) const;
  /// \brief Notes that work of \p cost tokens was granted.
  void charge(const OrganisationName& organisation, double cost, double weight);
  std::size_t size() const { return clocks_.size(); }

 private:
  std::map<OrganisationName, double> clocks_;
  double now_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_FAIRSHARE_H
