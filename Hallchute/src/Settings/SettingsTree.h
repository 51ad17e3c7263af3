// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_SETTINGSTREE_H
#define HALLCHUTE_SETTINGS_SETTINGSTREE_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Hallchute/src/Settings/JsonTree.h"
#include "Hallchute/src/Settings/Organisation.h"
#include "Hallchute/src/Settings/PolicyValues.h"
#include "Hallchute/src/Settings/ServiceSettings.h"
#include "Hallchute/src/Settings/WorkClass.h"

namespace Hallchute {

/// \brief The scope for which a policy value is resolved. An empty name skips its level.
/// \ingroup Settings
struct PolicyScope {
  FailureDomainName domain;
  ServiceName service;
  OrganisationName organisation;
};

/// \brief A resolved policy value and the level of the tree that set it.
/// \ingroup Settings
struct ResolvedPolicy {
  std::int64_t value = 0;
  /// `default`, `fleet`, `failureDomains/NAME`, `services/NAME` or `organisations/NAME`.
  std::string level;
};

/// \brief A validated tree of settings.
/// \ingroup Settings
struct SettingsTree {
  PolicyValues fleet;
  std::map<FailureDomainName, PolicyValues> failureDomains;
  std::map<ServiceName, ServiceSettings> services;
  std::map<WorkClassName, WorkClass> workClasses;
  std::map<OrganisationName, Organisation> organisations;

  /// \brief Resolves a policy value: the most specific level that sets it wins, else the default.
  ResolvedPolicy explain(PolicyKey key, const PolicyScope& scope) const;
  std::int64_t policy(PolicyKey key, const PolicyScope& scope) const;
  /// \brief The organisation to which the bearer token \p token belongs, or null. Constant time:
  /// the running time depends on lengths only.
  const Organisation* organisationOf(std::string_view token) const;
};

/// \brief Reads and validates a whole tree; every error is added to \p findings.
/// \ingroup Settings
/// \returns the tree; valid only if no finding was added.
SettingsTree readSettings(const JsonObject& json, Findings& findings);

/// \brief The reference of all settings in Markdown, generated from the specifications.
/// \ingroup Settings
std::string settingsReference();

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_SETTINGSTREE_H
