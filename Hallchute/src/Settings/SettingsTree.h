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

/// \brief For whom a policy number is asked. Empty names skip their level.
/// \ingroup Settings
struct PolicyScope {
  DomainName domain;
  ServiceName service;
  OrganisationName organisation;
};

/// \brief A policy number and the level of the tree that gave it.
/// \ingroup Settings
struct ResolvedPolicy {
  std::int64_t value = 0;
  /// `default`, `fleet`, `failureDomains/NAME`, `services/NAME` or `organisations/NAME`.
  std::string level;
};

/// \brief A checked tree of settings.
/// \ingroup Settings
struct SettingsTree {
  PolicyValues fleet;
  std::map<DomainName, PolicyValues> failureDomains;
  std::map<ServiceName, ServiceSettings> services;
  std::map<ClassName, WorkClass> workClasses;
  std::map<OrganisationName, Organisation> organisations;

  /// \brief The number in force: the most particular level that sets it, else the default.
  ResolvedPolicy explain(PolicyKey key, const PolicyScope& scope) const;
  std::int64_t policy(PolicyKey key, const PolicyScope& scope) const;
  /// \brief The organisation whose key \p token is, or null. Time depends on lengths only.
  const Organisation* organisationOf(std::string_view token) const;
};

/// \brief Reads and checks a whole tree; every fault is added to \p findings.
/// \ingroup Settings
/// \returns the tree, to be used only if no finding was added.
SettingsTree readSettings(const JsonObject& json, Findings& findings);

/// \brief The reference of all settings as a Markdown page, made from the specifications.
/// \ingroup Settings
std::string settingsReference();

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_SETTINGSTREE_H
