// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_OPERATORSERVICES_H
#define HALLCHUTE_DAEMON_OPERATORSERVICES_H

#include <functional>
#include <string>

namespace Hallchute {

class Control;
class JobTable;
class Metrics;
class PlatformHealth;
class SettingsEditor;
class SettingsStore;
struct StartupFile;

/// \brief Dependencies of the operator API's request handlers.
/// \ingroup Daemon
struct OperatorServices {
  const StartupFile& startup;
  Control& control;
  SettingsStore& settings;
  SettingsEditor& editor;
  JobTable& jobs;
  Metrics& metrics;
  PlatformHealth& health;
  std::function<bool()> draining;
  std::function<void()> drain;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_OPERATORSERVICES_H
