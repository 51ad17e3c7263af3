// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/RolloutStage.h"

#include <array>
#include <utility>

namespace Hallchute {
namespace {

constexpr std::array<std::pair<RolloutPhase, std::string_view>, 5> kPhaseNames{{
    {RolloutPhase::canary, "canary"},
    {RolloutPhase::ramp, "ramp"},
    {RolloutPhase::drain, "drain"},
    {RolloutPhase::done, "done"},
    {RolloutPhase::rolledBack, "rolledBack"},
}};

}  // namespace

std::string_view describe(RolloutPhase phase) {
  for (const auto& [named, name] : kPhaseNames) {
    if (named == phase) return name;
  }
  return "unknown";
}

RolloutPhase parseRolloutPhase(std::string_view name) {
  for (const auto& [named, text] : kPhaseNames) {
    if (text == name) return named;
  }
  return RolloutPhase::rolledBack;
}

}  // namespace Hallchute
