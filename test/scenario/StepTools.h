// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SCENARIO_STEPTOOLS_H
#define HALLCHUTE_TEST_SCENARIO_STEPTOOLS_H

#include <cstddef>
#include <string>

#include "Hallchute/src/Settings/JsonTree.h"
#include "test/scenario/Script.h"

/// \file
/// \brief Helpers shared by the verbs of a scenario.

namespace Scenario {

/// \brief Fails the step with \p what unless \p holds.
void require(bool holds, const std::string& what);

/// \brief A word of the step; fails it if there is none.
const std::string& word(const Step& step, std::size_t index);

Hallchute::JsonObject parse(const std::string& text);

/// \brief Compares by `<=`, `>=`, `==`, `<` or `>`.
bool compare(double left, const std::string& comparison, double right);

/// \brief A number as people write it.
std::string number(double value);

}  // namespace Scenario

#endif  // HALLCHUTE_TEST_SCENARIO_STEPTOOLS_H
