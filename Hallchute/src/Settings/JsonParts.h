// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_JSONPARTS_H
#define HALLCHUTE_SETTINGS_JSONPARTS_H

#include <string_view>

#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {

/// \brief Parses a JSON object whose parts come from different writers.
/// \ingroup Settings
///
/// The parts are the members and, of a member that is an array, its elements. One that nests too
/// deeply, or has a number that no type holds, is null in the result, and a finding names it; the
/// others are unaffected. The stack that is used doesn't grow with the nesting.
/// \returns null, after adding a finding, if \p text isn't a JSON object.
JsonObject parseJsonParts(std::string_view text, Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_JSONPARTS_H
