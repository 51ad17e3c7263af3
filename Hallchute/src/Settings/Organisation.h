// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_ORGANISATION_H
#define HALLCHUTE_SETTINGS_ORGANISATION_H

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Settings/PolicyValues.h"

namespace Hallchute {

/// \brief A tenant: its API keys, the services it may use and its scheduling weight.
/// \ingroup Settings
struct Organisation {
  OrganisationName name;
  /// Lower-case hexadecimal SHA-256 of each bearer token.
  std::vector<std::string> keySha256;
  std::set<ServiceName> services;
  std::int64_t weight = 1;
  PolicyValues policy;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_ORGANISATION_H
