// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_POLICYVALUES_H
#define HALLCHUTE_SETTINGS_POLICYVALUES_H

#include <array>
#include <cstdint>
#include <optional>

#include "Hallchute/src/Settings/PolicyKey.h"

namespace Hallchute {

/// \brief The policy values that one level of the tree sets; all others are inherited.
/// \ingroup Settings
class PolicyValues {
 public:
  void set(PolicyKey key, std::int64_t value) { values_[static_cast<std::size_t>(key)] = value; }
  std::optional<std::int64_t> get(PolicyKey key) const {
    return values_[static_cast<std::size_t>(key)];
  }

 private:
  std::array<std::optional<std::int64_t>, kPolicyKeyCount> values_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_POLICYVALUES_H
