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
/// \returns null, after adding a finding with the line and the cause, if \p text isn't a JSON
/// object.
JsonObject parseJsonObject(std::string_view text, Findings& findings);

/// \brief \p text with each byte outside a valid UTF-8 sequence replaced by a question mark, so
/// that one member with invalid bytes doesn't make the whole document unparseable. \ingroup
/// Settings
std::string replaceInvalidUtf8(std::string_view text);

/// \brief Serialises \p value on one line, with the keys in alphabetical order.
/// \ingroup Settings
std::string jsonText(const Poco::Dynamic::Var& value);

/// \brief Applies a JSON merge patch (RFC 7386): null removes a member, objects are merged, other
/// values replace.
/// \ingroup Settings
/// \returns a new object; the arguments are not modified.
JsonObject mergePatch(const JsonObject& target, const JsonObject& patch);

/// \brief One path at which two trees differ. An empty string means that the value is absent.
/// \ingroup Settings
struct JsonDifference {
  std::string path;
  std::string before;
  std::string after;
  bool operator==(const JsonDifference&) const = default;
};

/// \brief Every leaf at which the trees differ, ordered by path.
/// \ingroup Settings
std::vector<JsonDifference> differences(const JsonObject& before, const JsonObject& after);

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_JSONTREE_H
