// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SCENARIO_WAIT_H
#define HALLCHUTE_TEST_SCENARIO_WAIT_H

#include <functional>
#include <string>

#include "Hallchute/src/Core/Time.h"

namespace Scenario {

/// \brief Polls \p condition until it holds.
/// \returns the time it took. Throws an error that names \p what when \p limit has passed.
Hallchute::Millis waitFor(const std::string& what, Hallchute::Millis limit,
                          const std::function<bool()>& condition);

}  // namespace Scenario

#endif  // HALLCHUTE_TEST_SCENARIO_WAIT_H
