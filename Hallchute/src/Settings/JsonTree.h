// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_JSONTREE_H
#define HALLCHUTE_SETTINGS_JSONTREE_H

#include <Poco/JSON/Object.h>

#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Core/Finding.h"

namespace Hallchute {

/// \brief A parsed JSON object, or null.
/// \ingroup Settings
using JsonObject = Poco::JSON::Object::Ptr;

/// \brief Parses a JSON object.
/// \ingroup Settings
/// \returns null after adding a finding that names line and cause, if \p text is no object.
JsonObject parseJsonObject(std::string_view text, Findings& findings);

/// \brief \p text with a question mark for each byte that belongs to no UTF-8 character: one member
/// that holds such bytes must not make a whole document unreadable.
/// \ingroup Settings
std::string replaceInvalidUtf8(std::string_view text);

/// \brief The text of \p value on one line, keys in alphabetical order.
/// \ingroup Settings
std::string jsonText(const Poco::Dynamic::Var& value);

/// \brief Applies a JSON merge patch (RFC 7386): null removes, objects merge, all else replaces.
/// \ingroup Settings
/// \returns a new object; the arguments stay as they are.
JsonObject mergePatch(const JsonObject& target, const JsonObject& patch);

/// \brief One place at which two trees differ. An empty text stands for "absent".
/// \ingroup Settings
struct JsonDifference {
  std::string path;
  std::string before;
  std::string after;
  bool operator==(const JsonDifference&) const = default;
};

/// \brief Every leaf at which the trees differ, in the order of their paths.
/// \ingroup Settings
std::vector<JsonDifference> differences(const JsonObject& before, const JsonObject& after);

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_JSONTREE_H
